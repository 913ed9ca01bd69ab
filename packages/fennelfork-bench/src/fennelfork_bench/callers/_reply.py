"""Reads a daemon's reply to a query as the event that ends a try."""

import json
from typing import Any

import attrs

from fennelfork import Verdict
from fennelfork.gather import KeyRange
from fennelfork_bench.history._caller import (
    ConnectionCut,
    Ended,
    QueryAnswered,
    RecordSeen,
    Refused,
)

_OK = 200


@attrs.frozen(kw_only=True)
class Work:
    """What an answer says that was done for it."""

    sub_queries: int = 0
    hedges: int = 0
    retries: int = 0
    reruns: int = 0


@attrs.frozen(kw_only=True)
class QueryEnd:
    """How a try ended, with the work that the answer reports."""

    event: Ended
    work: Work = Work()


def query_end(
    attempt: str,
    at_ms: float,
    status: int,
    body: bytes,
) -> QueryEnd:
    """Read a reply; one that breaks the contract counts as cut.

    Args:
        attempt: the try that got the reply.
        at_ms: when it came.
        status: its HTTP status.
        body: its body.
    """
    try:
        return _parsed(attempt, at_ms, status, json.loads(body))
    except (KeyError, TypeError, ValueError) as error:
        detail = f'status {status}, unreadable: {error!r}'
    return QueryEnd(
        event=ConnectionCut(at_ms=at_ms, attempt=attempt, detail=detail),
    )


def _parsed(attempt: str, at_ms: float, status: int, reply: Any) -> QueryEnd:
    if status != _OK:
        event = Refused(
            at_ms=at_ms,
            attempt=attempt,
            reply_to=reply['request_id'],
            code=reply['code'],
            verdict=Verdict(reply['verdict']),
        )
        return QueryEnd(event=event)
    work = reply['work']
    return QueryEnd(
        event=_answered(attempt, at_ms, reply),
        work=Work(**{name: work[name] for name in attrs.fields_dict(Work)}),
    )


def _answered(attempt: str, at_ms: float, reply: Any) -> QueryAnswered:
    coverage = reply['coverage']
    return QueryAnswered(
        at_ms=at_ms,
        attempt=attempt,
        reply_to=reply['request_id'],
        snapshot=reply['snapshot'],
        records=tuple(
            RecordSeen(key=record['key'], stamp=record['text'])
            for record in reply['records']
        ),
        complete=coverage['complete'],
        fraction=coverage['fraction'],
        missing=tuple(
            KeyRange(lo=gap['lo'], hi=gap['hi']) for gap in coverage['missing']
        ),
        config_version=reply['config_version'],
    )
