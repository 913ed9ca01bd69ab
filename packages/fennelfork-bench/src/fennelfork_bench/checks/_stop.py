"""A planned stop is graceful: it cuts no request in progress."""

from collections.abc import Iterator
from typing import Final

from fennelfork_bench.checks._base import Promise, Try, Violation, tries_of
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

# What a daemon says of a request that it gives up because it stops.
_GIVEN_UP: Final = frozenset(('draining', 'cancelled'))


def check_graceful_stop(history: History) -> tuple[Violation, ...]:
    """Find stops that ended badly or cut a request."""
    tries = tries_of(history)
    return tuple(
        violation
        for stop in history.of(StopAsked)
        for violation in (
            *_exit_faults(history, stop),
            *_cut_requests(tries, stop),
        )
    )


def _exit_faults(history: History, stop: StopAsked) -> Iterator[Violation]:
    ends = [
        end
        for end in history.of(DaemonEvent)
        if end.daemon == stop.daemon and isinstance(end, Exited | Killed)
    ]
    if not ends:
        yield _violation('the daemon never exited', (stop,))
    if any(isinstance(end, Killed) for end in ends):
        return
    for end in ends:
        if isinstance(end, Exited) and end.status:
            detail = f'the daemon exited with status {end.status}'
            yield _violation(detail, (stop, end))


def _cut_requests(
    tries: tuple[Try, ...],
    stop: StopAsked,
) -> Iterator[Violation]:
    for attempt in tries:
        cuts = [end for end in attempt.ends if _is_cut(attempt, end, stop)]
        for end in cuts:
            detail = f'a request was cut: {type(end).__name__}'
            yield _violation(detail, (stop, attempt.asked, end))


def _is_cut(attempt: Try, end: Ended, stop: StopAsked) -> bool:
    asked = attempt.asked
    if asked.daemon != stop.daemon or end.at_ms < stop.at_ms:
        return False
    if isinstance(end, ConnectionCut | ConnectRefused):
        return asked.at_ms <= asked.entry_until_ms
    given_up = isinstance(end, Refused) and end.code in _GIVEN_UP
    return given_up and asked.at_ms < stop.at_ms


def _violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(
        promise=Promise.GRACEFUL_STOP,
        detail=detail,
        events=events,
    )
