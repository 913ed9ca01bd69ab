"""An answer states its coverage truly."""

from collections.abc import Iterator
from typing import Final

from fennelfork_bench.checks._base import (
    Promise,
    QueryReply,
    Truth,
    Violation,
    reply_violations,
)
from fennelfork_bench.history._caller import QueryAnswered
from fennelfork_bench.history._history import History

# The stated fraction may be rounded by less than half a key.
_HALF: Final = 0.5


def check_coverage(history: History, truth: Truth) -> tuple[Violation, ...]:
    """Find answers that lack, or hold, what they say they do not."""
    return reply_violations(
        Promise.TRUE_COVERAGE,
        history,
        lambda reply: _faults(reply, truth),
    )


def _faults(reply: QueryReply, truth: Truth) -> Iterator[str]:
    answer = reply.answer
    yield from _stated_faults(answer, truth)
    there = {record.key for record in answer.records}
    claimed = sorted(key for key in there if _is_missing(key, answer))
    if claimed:
        yield f'holds records in ranges stated as missing: {claimed}'
    lacking = [
        key
        for key in truth.stamps(answer.snapshot, reply.asked.query)
        if key not in there and not _is_missing(key, answer)
    ]
    if lacking:
        yield f'lacks records in ranges stated as covered: {lacking}'


def _stated_faults(answer: QueryAnswered, truth: Truth) -> Iterator[str]:
    if answer.complete == bool(answer.missing):
        yield f'complete={answer.complete} with missing {answer.missing}'
    gone = sum(part.width for part in answer.missing)
    covered = truth.keys - gone
    if abs(answer.fraction * truth.keys - covered) > _HALF:
        yield f'fraction {answer.fraction} with {covered} keys covered'


def _is_missing(key: int, answer: QueryAnswered) -> bool:
    return any(part.contains(key) for part in answer.missing)
