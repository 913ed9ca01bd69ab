"""What a root asks of the homes in one wave, and how long it waits."""

from typing import Final

from fennelfork.gather import (
    CoverageDemand,
    Merge,
    PlannedSubQuery,
    is_unsatisfiable,
)
from fennelfork.home import HomeGroup
from fennelfork_daemon.tracing._trace import RequestTrace

# How long a home may be silent before it is asked whether it lives.
_PATIENCE_SHARE: Final = 0.4
_LONGEST_PATIENCE_MS: Final = 500
_LEAST_PATIENCE_MS: Final = 20


def patience_ms(left_ms: float) -> float:
    """Give how long homes may be silent, of what remains of a deadline."""
    share_ms = min(left_ms * _PATIENCE_SHARE, _LONGEST_PATIENCE_MS)
    return max(share_ms, _LEAST_PATIENCE_MS)


def is_awaited(
    merge: Merge,
    demand: CoverageDemand,
    left_ms: float,
) -> bool:
    """Tell whether a query is worth waiting for.

    Args:
        merge: its parts and failures so far.
        demand: how much coverage the caller needs.
        left_ms: what remains of the deadline.
    """
    if left_ms <= 0 or not merge.pending:
        return False
    return not is_unsatisfiable(merge, demand)


def note_group(
    trace: RequestTrace,
    group: HomeGroup,
    silent: frozenset[str],
) -> None:
    """Note that a home is asked in place of silent ones, if it is."""
    if silent:
        trace.note(
            'asked the next home',
            home=group.home.name,
            shards=sorted(group.shards),
            silent=sorted(silent),
        )


def pending_shards(merge: Merge) -> frozenset[str]:
    """Give the shards of which something is pending."""
    return frozenset(planned.shard for planned in merge.pending)


def pending_of(merge: Merge, group: HomeGroup) -> tuple[PlannedSubQuery, ...]:
    """Give what is pending of the shards of a group."""
    return tuple(
        planned for planned in merge.pending if planned.shard in group.shards
    )
