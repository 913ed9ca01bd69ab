"""Checks that a draining backend server receives no new requests."""

from fennelfork_bench.checks._base import Guarantee, TimeLimits, Violation
from fennelfork_bench.history._history import History
from fennelfork_bench.history._server import DrainAsked, WorkReceived


def check_drain(history: History, limits: TimeLimits) -> tuple[Violation, ...]:
    """Find requests that reached a server too long after a drain request.

    Requests that the server refused count too.
    """
    return tuple(
        Violation(
            guarantee=Guarantee.DRAIN,
            detail=f'request {work.at_ms - drain.at_ms:.0f} ms after the drain',
            events=(drain, work),
        )
        for drain in history.of_type(DrainAsked)
        for work in history.of_type(WorkReceived)
        if _is_late(drain, work, limits)
    )


def _is_late(drain: DrainAsked, work: WorkReceived, limits: TimeLimits) -> bool:
    due_ms = drain.at_ms + limits.drain_ms
    return work.server == drain.server and work.at_ms > due_ms
