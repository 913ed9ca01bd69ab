"""Checks that every answer reflects one snapshot of the index."""

from collections.abc import Iterator
from typing import Final

from fennelfork_bench.checks._base import (
    ExpectedIndex,
    Guarantee,
    QueryReply,
    Violation,
    check_replies,
)
from fennelfork_bench.history._history import History

_MATCH_ALL_QUERY: Final = '{}'


def check_snapshot(
    history: History, expected_index: ExpectedIndex
) -> tuple[Violation, ...]:
    """Find answers with records of a snapshot other than the reported one."""
    return check_replies(
        Guarantee.ONE_SNAPSHOT,
        history,
        lambda reply: _find_problems(reply, expected_index),
    )


def _find_problems(
    reply: QueryReply, expected_index: ExpectedIndex
) -> Iterator[str]:
    answer = reply.answer
    if answer.snapshot not in expected_index.snapshots:
        yield f'snapshot {answer.snapshot} never existed'
        return
    stamps = expected_index.stamps(answer.snapshot, _MATCH_ALL_QUERY)
    mismatched = [
        record.key
        for record in answer.records
        if stamps.get(record.key) != record.stamp
    ]
    if mismatched:
        yield f'records not of snapshot {answer.snapshot}: {mismatched}'
