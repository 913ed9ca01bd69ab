"""Converts the log of a stand-in to events of a history."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from fennelfork_bench.backend_server._log import Call, EventKind
from fennelfork_bench.history._server import (
    ExecuteRan,
    QueryRan,
    ReplySpoiled,
    ServerEvent,
    WorkCancelled,
    WorkReceived,
    WorkRefused,
)

_LogLine = Mapping[str, Any]
_EventFactory = Callable[[dict[str, Any], _LogLine], ServerEvent]
_EventFactories = dict[EventKind, _EventFactory]


def server_events(page: Mapping[str, Any]) -> Iterator[ServerEvent]:
    """Yield the events of a log page that the checkers use.

    Args:
        page: response of `GET /control/log`.
    """
    for line in page['events']:
        factory = _EVENT_FACTORIES.get(EventKind(line['kind']))
        if factory is not None:
            yield factory(_common_fields(page['name'], line), line)


def _common_fields(server: str, line: _LogLine) -> dict[str, Any]:
    return {
        'at_ms': line['at_ms'],
        'server': server,
        'request_id': line['request_id'],
        'sub_query': line['sub_query'],
    }


def _build_received_event(
    common: dict[str, Any], line: _LogLine
) -> ServerEvent:
    return WorkReceived(**common)


def _build_started_event(common: dict[str, Any], line: _LogLine) -> ServerEvent:
    if Call(line['call']) is Call.EXECUTE:
        return ExecuteRan(**common, key=line['key'], action=line['action'])
    return QueryRan(
        **common,
        snapshot=line['snapshot'],
        lo=line['lo'],
        hi=line['hi'],
    )


def _build_refused_event(common: dict[str, Any], line: _LogLine) -> ServerEvent:
    return WorkRefused(**common, code=line['detail'])


def _build_fault_injected_event(
    common: dict[str, Any], line: _LogLine
) -> ServerEvent:
    return ReplySpoiled(**common, kind=line['detail'])


def _build_cancelled_event(
    common: dict[str, Any], line: _LogLine
) -> ServerEvent:
    return WorkCancelled(**common)


_EVENT_FACTORIES: Final[_EventFactories] = {
    EventKind.RECEIVED: _build_received_event,
    EventKind.STARTED: _build_started_event,
    EventKind.REFUSED: _build_refused_event,
    EventKind.FAULT: _build_fault_injected_event,
    EventKind.CANCELLED: _build_cancelled_event,
}
