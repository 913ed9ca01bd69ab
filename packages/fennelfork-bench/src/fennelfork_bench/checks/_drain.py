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
            detail=f'request {received.at_ms - drain.at_ms:.0f} ms after the drain',
            events=(drain, received),
        )
        for drain in history.of_type(DrainAsked)
        for received in history.of_type(WorkReceived)
        if _is_past_drain_limit(drain, received, limits)
    )


def _is_past_drain_limit(
    drain: DrainAsked, received: WorkReceived, limits: TimeLimits
) -> bool:
    due_ms = drain.at_ms + limits.drain_ms
    return received.server == drain.server and received.at_ms > due_ms
