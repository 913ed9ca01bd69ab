"""Parsers for the responses of backend servers."""

import itertools
from typing import Any, Final

from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, Verdict, may_have_run
from fennelfork.gather import (
    ExpectedReply,
    KeyRange,
    Record,
    Reply,
    SnapshotView,
    check_reply,
    key_range,
)
from fennelfork.home import ServerReport
from fennelfork_daemon._json_document import parse_json
from fennelfork_daemon.backend._request import BackendResponse

_OK: Final = 200


def read_json(response: BackendResponse) -> Result[Any, Failure]:
    """Parse a JSON response; an error status becomes a failure."""
    try:
        tree = parse_json(response.body)
    except ValueError:
        return _invalid_reply_failure('the body is not JSON')
    if not isinstance(tree, dict):
        return _invalid_reply_failure('the body is not an object')
    if response.status == _OK:
        return Success(tree)
    return Bad(_read_problem(response.status, tree))


def read_search(tree: Any, expected: ExpectedReply) -> Result[Reply, Failure]:
    """Parse the response to a search and check it against the request."""
    try:
        reply = _read_reply(tree)
    except (KeyError, TypeError) as error:
        return _invalid_reply_failure(
            f'the response has a missing or invalid member: {error}'
        )
    return check_reply(expected, reply)


def read_health(tree: Any) -> Result[ServerReport, Failure]:
    """Parse the health report of a server."""
    try:
        report = ServerReport(
            cold=tree['state'] == 'cold',
            draining=tree['state'] == 'draining',
            snapshots=tuple(
                _read_snapshot(snapshot) for snapshot in tree['snapshots']
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        return _invalid_reply_failure(
            f'the health report has a missing or invalid member: {error}'
        )
    return Success(report)


def _read_snapshot(snapshot: Any) -> SnapshotView:
    ranges = tuple(itertools.starmap(key_range, snapshot['ranges']))
    return SnapshotView(version=snapshot['version'], ranges=ranges)


def _read_reply(tree: Any) -> Reply:
    return Reply(
        request_id=tree['request_id'],
        sub_query=tree['sub_query'],
        snapshot=tree['snapshot'],
        span=KeyRange(lo=tree['lo'], hi=tree['hi']),
        count=tree['count'],
        records=tuple(
            Record(key=content['key'], content=content)
            for content in tree['records']
        ),
    )


def _read_problem(status: int, tree: dict[str, Any]) -> Failure:
    try:
        return Failure(
            code=FailureCode(tree['code']),
            verdict=Verdict(tree['verdict']),
            detail=str(tree.get('detail', f'status {status}')),
            retry_after_ms=tree.get('retry_after_ms'),
        )
    except (KeyError, ValueError):
        return may_have_run(FailureCode.BAD_REPLY, f'status {status}')


def _invalid_reply_failure(detail: str) -> Result[Any, Failure]:
    return Bad(may_have_run(FailureCode.BAD_REPLY, detail))
