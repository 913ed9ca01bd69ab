"""Checks of one reply against the sub-query that it claims to answer."""

from collections.abc import Mapping, Sequence

import attrs
from returns.result import Failure as Err
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.gather._range import KeyRange


@attrs.frozen(kw_only=True)
class Record:
    """One record: its key, and its content, which is not looked into."""

    key: int
    content: Mapping[str, object]


@attrs.frozen(kw_only=True)
class ExpectedReply:
    """What a reply must echo to be the answer of a sub-query.

    Attributes:
        request_id: of the caller's request.
        sub_query: name of the sub-query, unique within the request.
        snapshot: the index version that was asked for.
        span: the keys that were asked for.
    """

    request_id: str
    sub_query: str
    snapshot: int
    span: KeyRange


@attrs.frozen(kw_only=True)
class Reply:
    """A reply as it arrived, not yet believed.

    Attributes:
        count: how many records the server says that it sent.
        records: the records that arrived.
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
    """Accept a reply only if it is whole and belongs to the sub-query.

    Args:
        expected: the sub-query as it was sent.
        reply: what came back.

    Returns:
        The reply, or `BAD_REPLY` that says what is wrong: a crossed reply,
        another snapshot or range, a truncated body, a record doubled, out of
        order or out of range. Its verdict is `RAN` if the reply is of this
        sub-query, else it is unknown whether this sub-query ran.
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
