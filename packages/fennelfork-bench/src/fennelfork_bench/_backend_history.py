"""Reads the log of a stand-in as events of a history."""

from collections.abc import Iterator, Mapping
from typing import Any

from fennelfork_bench._backend_log import Call, EventKind
from fennelfork_bench._history_server import (
    ExecuteRan,
    QueryRan,
    ServerEvent,
    WorkCancelled,
    WorkRefused,
)


def server_events(page: Mapping[str, Any]) -> Iterator[ServerEvent]:
    """Give the events of a log page that the checkers know.

    Args:
        page: the answer of `GET /control/log`.
    """
    for line in page['events']:
        event = _server_event(page['name'], line)
        if event is not None:
            yield event


def _server_event(server: str, line: Mapping[str, Any]) -> ServerEvent | None:
    work = {
        'at_ms': line['at_ms'],
        'server': server,
        'request_id': line['request_id'],
        'sub_query': line['sub_query'],
    }
    kind = EventKind(line['kind'])
    if kind is EventKind.STARTED:
        return _started(work, line)
    if kind is EventKind.CANCELLED:
        return WorkCancelled(**work)
    if kind is EventKind.REFUSED:
        return WorkRefused(**work, code=line['detail'])
    return None


def _started(work: dict[str, Any], line: Mapping[str, Any]) -> ServerEvent:
    if Call(line['call']) is Call.EXECUTE:
        return ExecuteRan(**work, key=line['key'], action=line['action'])
    return QueryRan(
        **work,
        snapshot=line['snapshot'],
        lo=line['lo'],
        hi=line['hi'],
    )
