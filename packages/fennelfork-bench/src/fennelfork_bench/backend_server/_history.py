"""Reads the log of a stand-in as events of a history."""

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

_Line = Mapping[str, Any]
_Make = Callable[[dict[str, Any], _Line], ServerEvent]
_Makers = dict[EventKind, _Make]


def server_events(page: Mapping[str, Any]) -> Iterator[ServerEvent]:
    """Give the events of a log page that the checkers know.

    Args:
        page: the answer of `GET /control/log`.
    """
    for line in page['events']:
        make = _MAKERS.get(EventKind(line['kind']))
        if make is not None:
            yield make(_work(page['name'], line), line)


def _work(server: str, line: _Line) -> dict[str, Any]:
    return {
        'at_ms': line['at_ms'],
        'server': server,
        'request_id': line['request_id'],
        'sub_query': line['sub_query'],
    }


def _received(work: dict[str, Any], line: _Line) -> ServerEvent:
    return WorkReceived(**work)


def _started(work: dict[str, Any], line: _Line) -> ServerEvent:
    if Call(line['call']) is Call.EXECUTE:
        return ExecuteRan(**work, key=line['key'], action=line['action'])
    return QueryRan(
        **work,
        snapshot=line['snapshot'],
        lo=line['lo'],
        hi=line['hi'],
    )


def _refused(work: dict[str, Any], line: _Line) -> ServerEvent:
    return WorkRefused(**work, code=line['detail'])


def _spoiled(work: dict[str, Any], line: _Line) -> ServerEvent:
    return ReplySpoiled(**work, kind=line['detail'])


def _cancelled(work: dict[str, Any], line: _Line) -> ServerEvent:
    return WorkCancelled(**work)


_MAKERS: Final[_Makers] = {
    EventKind.RECEIVED: _received,
    EventKind.STARTED: _started,
    EventKind.REFUSED: _refused,
    EventKind.FAULT: _spoiled,
    EventKind.CANCELLED: _cancelled,
}
