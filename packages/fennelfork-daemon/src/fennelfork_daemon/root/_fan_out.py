"""Helpers for the fan-out of a query to home daemons."""

from typing import Final

from fennelfork.gather import (
    CoverageDemand,
    Merge,
    PlannedSubQuery,
    is_unsatisfiable,
)
from fennelfork.home import HomeGroup
from fennelfork_daemon.tracing._trace import RequestTrace

# Share of the remaining time after which unanswered home daemons are probed.
_PROBE_DELAY_SHARE: Final = 0.4
_MAX_PROBE_DELAY_MS: Final = 500
_MIN_PROBE_DELAY_MS: Final = 20


def probe_delay_ms(remaining_ms: float) -> float:
    """Return the delay before unanswered home daemons are probed."""
    share_ms = min(remaining_ms * _PROBE_DELAY_SHARE, _MAX_PROBE_DELAY_MS)
    return max(share_ms, _MIN_PROBE_DELAY_MS)


def should_wait(
    merge: Merge,
    demand: CoverageDemand,
    remaining_ms: float,
) -> bool:
    """Whether further replies can still provide the required coverage.

    Args:
        merge: replies and failures so far.
        demand: coverage that the caller requires.
        remaining_ms: time until the deadline, in milliseconds.
    """
    if remaining_ms <= 0 or not merge.pending:
        return False
    return not is_unsatisfiable(merge, demand)


def trace_fallback(
    trace: RequestTrace,
    group: HomeGroup,
    unresponsive: frozenset[str],
) -> None:
    """Record in the trace that a fallback home daemon is asked."""
    if unresponsive:
        trace.record_event(
            'asked the next home',
            home=group.home.name,
            shards=sorted(group.shards),
            silent=sorted(unresponsive),
        )


def pending_shards(merge: Merge) -> frozenset[str]:
    """Return the shards with pending sub-queries."""
    return frozenset(planned.shard for planned in merge.pending)


def pending_for_group(
    merge: Merge, group: HomeGroup
) -> tuple[PlannedSubQuery, ...]:
    """Return the pending sub-queries for the shards of a group."""
    return tuple(
        planned for planned in merge.pending if planned.shard in group.shards
    )
