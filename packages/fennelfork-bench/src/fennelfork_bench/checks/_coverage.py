"""Checks that each answer reports its coverage correctly."""

from collections.abc import Iterator
from typing import Final

from fennelfork_bench.checks._base import (
    ExpectedIndex,
    Guarantee,
    QueryReply,
    Violation,
    check_replies,
)
from fennelfork_bench.history._caller import QueryAnswered
from fennelfork_bench.history._history import History

# Allows for the rounding of the reported fraction.
_ROUNDING_TOLERANCE_KEYS: Final = 0.5


def check_coverage(
    history: History, expected_index: ExpectedIndex
) -> tuple[Violation, ...]:
    """Find answers whose records contradict the reported coverage."""
    return check_replies(
        Guarantee.TRUE_COVERAGE,
        history,
        lambda reply: _find_problems(reply, expected_index),
    )


def _find_problems(
    reply: QueryReply, expected_index: ExpectedIndex
) -> Iterator[str]:
    answer = reply.answer
    yield from _find_summary_problems(answer, expected_index)
    returned_keys = {record.key for record in answer.records}
    claimed = sorted(key for key in returned_keys if _is_missing(key, answer))
    if claimed:
        yield f'contains records in ranges reported as missing: {claimed}'
    omitted = [
        key
        for key in expected_index.stamps(answer.snapshot, reply.asked.query)
        if key not in returned_keys and not _is_missing(key, answer)
    ]
    if omitted:
        yield f'lacks records in ranges reported as covered: {omitted}'


def _find_summary_problems(
    answer: QueryAnswered, expected_index: ExpectedIndex
) -> Iterator[str]:
    if answer.complete == bool(answer.missing):
        yield f'complete={answer.complete} with missing {answer.missing}'
    missing_width = sum(part.width for part in answer.missing)
    covered = expected_index.keys - missing_width
    if (
        abs(answer.fraction * expected_index.keys - covered)
        > _ROUNDING_TOLERANCE_KEYS
    ):
        yield f'fraction {answer.fraction} with {covered} keys covered'


def _is_missing(key: int, answer: QueryAnswered) -> bool:
    return any(part.contains(key) for part in answer.missing)
