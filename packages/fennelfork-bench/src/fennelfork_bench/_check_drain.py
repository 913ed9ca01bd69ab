"""A leaving backend server gets no new work after a few seconds."""

from collections.abc import Iterator

from fennelfork_bench._check_base import Limits, Promise, Violation
from fennelfork_bench._history import History
from fennelfork_bench._history_server import (
    DrainAsked,
    ExecuteRan,
    QueryRan,
    Work,
    WorkRefused,
)


def check_drain(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Find work that reached a server long after it was told to drain.

    Work that the server refused counts too: it should not have been sent.
    """
    arrivals = tuple(_arrivals(history))
    return tuple(
        Violation(
            promise=Promise.DRAIN,
            detail=f'work {work.at_ms - drain.at_ms:.0f} ms after the drain',
            events=(drain, work),
        )
        for drain in history.of(DrainAsked)
        for work in arrivals
        if _is_late(drain, work, limits)
    )


def _arrivals(history: History) -> Iterator[Work]:
    for work in history.of(Work):
        if isinstance(work, QueryRan | ExecuteRan | WorkRefused):
            yield work


def _is_late(drain: DrainAsked, work: Work, limits: Limits) -> bool:
    due_ms = drain.at_ms + limits.drain_ms
    return work.server == drain.server and work.at_ms > due_ms
