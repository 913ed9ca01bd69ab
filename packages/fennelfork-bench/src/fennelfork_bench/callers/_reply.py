"""Parsing of the answer to a query into an event of the history."""

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
    """Work that an answer reports.

    Attributes:
        sub_queries: number of sub-queries.
        hedges: number of hedges.
        retries: number of retries.
        reruns: number of reruns of the query.
    """

    sub_queries: int = 0
    hedges: int = 0
    retries: int = 0
    reruns: int = 0


@attrs.frozen(kw_only=True)
class QueryOutcome:
    """Outcome of a query.

    Attributes:
        event: event that ends the attempt.
        work: work that the answer reports.
    """

    event: Ended
    work: Work = Work()


def parse_reply(
    attempt: str,
    at_ms: float,
    status: int,
    body: bytes,
) -> QueryOutcome:
    """Parse an answer; a malformed answer counts as a lost connection.

    Args:
        attempt: id of the attempt.
        at_ms: time of the answer in milliseconds.
        status: HTTP status of the answer.
        body: body of the answer.
    """
    try:
        return _parse_body(attempt, at_ms, status, json.loads(body))
    except (KeyError, TypeError, ValueError) as error:
        detail = f'malformed answer with status {status}: {error!r}'
    return QueryOutcome(
        event=ConnectionCut(at_ms=at_ms, attempt=attempt, detail=detail),
    )


def _parse_body(
    attempt: str, at_ms: float, status: int, reply: Any
) -> QueryOutcome:
    if status != _OK:
        event = Refused(
            at_ms=at_ms,
            attempt=attempt,
            reply_to=reply['request_id'],
            code=reply['code'],
            verdict=Verdict(reply['verdict']),
        )
        return QueryOutcome(event=event)
    work = reply['work']
    return QueryOutcome(
        event=_build_answer_event(attempt, at_ms, reply),
        work=Work(**{name: work[name] for name in attrs.fields_dict(Work)}),
    )


def _build_answer_event(
    attempt: str, at_ms: float, reply: Any
) -> QueryAnswered:
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
