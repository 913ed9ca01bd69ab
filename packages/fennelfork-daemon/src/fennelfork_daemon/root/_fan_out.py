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
_PROBE_DELAY_SHARE: Final = 0.4
_MAX_PROBE_DELAY_MS: Final = 500
_MIN_PROBE_DELAY_MS: Final = 20


def probe_delay_ms(left_ms: float) -> float:
    """Give how long homes may be silent, of what remains of a deadline."""
    share_ms = min(left_ms * _PROBE_DELAY_SHARE, _MAX_PROBE_DELAY_MS)
    return max(share_ms, _MIN_PROBE_DELAY_MS)


def should_wait(
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


def trace_fallback(
    trace: RequestTrace,
    group: HomeGroup,
    unresponsive: frozenset[str],
) -> None:
    """Note that a home is asked in place of silent ones, if it is."""
    if unresponsive:
        trace.note(
            'asked the next home',
            home=group.home.name,
            shards=sorted(group.shards),
            silent=sorted(unresponsive),
        )


def pending_shards(merge: Merge) -> frozenset[str]:
    """Give the shards of which something is pending."""
    return frozenset(planned.shard for planned in merge.pending)


def pending_for_group(
    merge: Merge, group: HomeGroup
) -> tuple[PlannedSubQuery, ...]:
    """Give what is pending of the shards of a group."""
    return tuple(
        planned for planned in merge.pending if planned.shard in group.shards
    )
