"""Every answer reflects one snapshot of the index."""

from collections.abc import Iterator
from typing import Final

from fennelfork_bench.checks._base import (
    Promise,
    QueryReply,
    Truth,
    Violation,
    reply_violations,
)
from fennelfork_bench.history._history import History

_EVERY_RECORD: Final = '{}'


def check_snapshot(history: History, truth: Truth) -> tuple[Violation, ...]:
    """Find answers that hold a record of another snapshot than they name."""
    return reply_violations(
        Promise.ONE_SNAPSHOT,
        history,
        lambda reply: _faults(reply, truth),
    )


def _faults(reply: QueryReply, truth: Truth) -> Iterator[str]:
    answer = reply.answer
    if answer.snapshot not in truth.snapshots:
        yield f'snapshot {answer.snapshot} never existed'
        return
    stamps = truth.stamps(answer.snapshot, _EVERY_RECORD)
    foreign = [
        record.key
        for record in answer.records
        if stamps.get(record.key) != record.stamp
    ]
    if foreign:
        yield f'records not of snapshot {answer.snapshot}: {foreign}'
