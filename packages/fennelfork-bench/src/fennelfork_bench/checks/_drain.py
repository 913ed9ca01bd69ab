"""A leaving backend server gets no new work after a few seconds."""

from fennelfork_bench.checks._base import Limits, Promise, Violation
from fennelfork_bench.history._history import History
from fennelfork_bench.history._server import DrainAsked, WorkReceived


def check_drain(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Find work that reached a server long after it was told to drain.

    Work that the server refused counts too: it should not have been sent.
    """
    return tuple(
        Violation(
            promise=Promise.DRAIN,
            detail=f'work {work.at_ms - drain.at_ms:.0f} ms after the drain',
            events=(drain, work),
        )
        for drain in history.of(DrainAsked)
        for work in history.of(WorkReceived)
        if _is_late(drain, work, limits)
    )


def _is_late(drain: DrainAsked, work: WorkReceived, limits: Limits) -> bool:
    due_ms = drain.at_ms + limits.drain_ms
    return work.server == drain.server and work.at_ms > due_ms
