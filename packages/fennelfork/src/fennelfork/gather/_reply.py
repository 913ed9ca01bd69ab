"""Validation of replies against their sub-queries."""

from collections.abc import Mapping, Sequence

import attrs
from returns.result import Failure as Err
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.gather._range import KeyRange


@attrs.frozen(kw_only=True)
class Record:
    """Record with its key and opaque content."""

    key: int
    content: Mapping[str, object]


@attrs.frozen(kw_only=True)
class ExpectedReply:
    """Fields that the reply to a sub-query must echo.

    Attributes:
        request_id: id of the request of the caller.
        sub_query: name of the sub-query, unique within the request.
        snapshot: requested index version.
        span: requested keys.
    """

    request_id: str
    sub_query: str
    snapshot: int
    span: KeyRange


@attrs.frozen(kw_only=True)
class Reply:
    """Reply that may not have been validated.

    Attributes:
        count: number of records that the server declared.
        records: records that were received.
    """

    request_id: str
    sub_query: str
    snapshot: int
    span: KeyRange
    count: int
    records: Sequence[Record]


def check_reply(
    expected: ExpectedReply,
    reply: Reply,
) -> Result[Reply, Failure]:
    """Validate that a reply is complete and belongs to a sub-query.

    Args:
        expected: fields of the sub-query that was sent.
        reply: reply that was received.

    Returns:
        The reply, or a `BAD_REPLY` failure: the reply belongs to another
        sub-query, has another snapshot or range, is truncated, or has
        records that are duplicate, unsorted or out of range. The verdict is
        `RAN` if the reply belongs to the sub-query, else `MAY_HAVE_RUN`.
    """
    crossed = _identity_mismatch(expected, reply)
    if crossed:
        return _bad_reply(Verdict.MAY_HAVE_RUN, crossed)
    fault = _scope_mismatch(expected, reply) or _records_mismatch(
        expected, reply
    )
    if fault:
        return _bad_reply(Verdict.RAN, fault)
    return Success(reply)


def _bad_reply(verdict: Verdict, detail: str) -> Result[Reply, Failure]:
    return Err(
        Failure(code=FailureCode.BAD_REPLY, verdict=verdict, detail=detail),
    )


def _identity_mismatch(expected: ExpectedReply, reply: Reply) -> str:
    if reply.request_id != expected.request_id:
        return f'crossed: reply of request {reply.request_id}'
    if reply.sub_query != expected.sub_query:
        return f'crossed: reply of sub-query {reply.sub_query}'
    return ''


def _scope_mismatch(expected: ExpectedReply, reply: Reply) -> str:
    if reply.snapshot != expected.snapshot:
        return f'snapshot {reply.snapshot}, not {expected.snapshot}'
    if reply.span != expected.span:
        return f'range [{reply.span.lo}, {reply.span.hi}) was not asked for'
    return ''


def _records_mismatch(expected: ExpectedReply, reply: Reply) -> str:
    if len(reply.records) != reply.count:
        return f'{len(reply.records)} records of {reply.count}'
    below = expected.span.lo - 1
    for record in reply.records:
        if record.key <= below:
            return f'record {record.key} doubled, unsorted or below the range'
        below = record.key
    if below >= expected.span.hi:
        return f'record {below} above the range'
    return ''
