"""Checks that a planned stop of a daemon interrupts no request in flight."""

from collections.abc import Iterator
from typing import Final

from fennelfork_bench.checks._base import (
    CallerAttempt,
    Guarantee,
    Violation,
    caller_attempts,
)
from fennelfork_bench.history._caller import (
    ConnectionCut,
    ConnectRefused,
    Ended,
    Refused,
)
from fennelfork_bench.history._daemon import (
    DaemonEvent,
    Exited,
    Killed,
    StopAsked,
)
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History

# Failure codes of requests that a daemon abandons because it stops.
_ABANDONED_CODES: Final = frozenset(('draining', 'cancelled'))


def check_graceful_stop(history: History) -> tuple[Violation, ...]:
    """Find stops with a failed exit or with interrupted requests."""
    attempts = caller_attempts(history)
    return tuple(
        violation
        for stop in history.of_type(StopAsked)
        for violation in (
            *_find_exit_problems(history, stop),
            *_find_interrupted_requests(attempts, stop),
        )
    )


def _find_exit_problems(
    history: History, stop: StopAsked
) -> Iterator[Violation]:
    ends = [
        end
        for end in history.of_type(DaemonEvent)
        if end.daemon == stop.daemon and isinstance(end, Exited | Killed)
    ]
    if not ends:
        yield _build_violation('the daemon never exited', (stop,))
    if any(isinstance(end, Killed) for end in ends):
        return
    for end in ends:
        if isinstance(end, Exited) and end.status:
            detail = f'the daemon exited with status {end.status}'
            yield _build_violation(detail, (stop, end))


def _find_interrupted_requests(
    attempts: tuple[CallerAttempt, ...],
    stop: StopAsked,
) -> Iterator[Violation]:
    for attempt in attempts:
        interrupted_ends = [
            end for end in attempt.ends if _is_interrupted(attempt, end, stop)
        ]
        for end in interrupted_ends:
            detail = f'a request was interrupted: {type(end).__name__}'
            yield _build_violation(detail, (stop, attempt.asked, end))


def _is_interrupted(
    attempt: CallerAttempt, end: Ended, stop: StopAsked
) -> bool:
    asked = attempt.asked
    if asked.daemon != stop.daemon or end.at_ms < stop.at_ms:
        return False
    if isinstance(end, ConnectionCut | ConnectRefused):
        return asked.at_ms <= asked.entry_until_ms
    is_abandoned = isinstance(end, Refused) and end.code in _ABANDONED_CODES
    return is_abandoned and asked.at_ms < stop.at_ms


def _build_violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(
        guarantee=Guarantee.GRACEFUL_STOP,
        detail=detail,
        events=events,
    )
