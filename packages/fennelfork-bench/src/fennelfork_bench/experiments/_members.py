"""Membership states that the daemons of a fleet report."""

import time
from collections.abc import Sequence
from typing import Final

import attrs
import eventlet

from fennelfork import system_clock
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process

_CLOCK: Final = system_clock()
_MS_PER_S: Final = 1000
_POLL_S: Final = 0.2
_POLL_TIMEOUT_MS: Final = 60_000
_TIMED_OUT_MS: Final = 1e6
_SERVING_STATES: Final = frozenset(('alive', 'leaving'))
_ALIVE: Final = 'alive'


@attrs.frozen(kw_only=True, order=True)
class FalseSuspicion:
    """Report of a daemon that a running daemon is not alive."""

    observer: str
    subject: str
    state: str


def fetch_member_states(operator: str) -> dict[str, str]:
    """Return the state of each member in the view of one daemon."""
    members = http.get(operator, '/v1/members').body.get('members', ())
    return {member['name']: member['state'] for member in members}


def measure_detection_times_ms(
    observers: Sequence[Process],
    killed: str,
    since_ms: float,
) -> list[float]:
    """Wait until each observer stops reporting a killed daemon as serving.

    Args:
        observers: daemons that are still running.
        killed: name of the killed daemon.
        since_ms: time at which the daemon was killed.

    Returns:
        Detection time of each observer in milliseconds.
    """
    pool = eventlet.GreenPool()
    pending = [
        pool.spawn(_detection_time_ms, each, killed, since_ms)
        for each in observers
    ]
    return [each.wait() for each in pending]


def watch_for_false_suspicions(
    daemons: Sequence[Process],
    seconds: float,
) -> set[FalseSuspicion]:
    """Poll the membership states of running daemons.

    Args:
        daemons: daemons that run during the whole interval.
        seconds: length of the interval.

    Returns:
        Distinct false suspicions.
    """
    end_ms = _CLOCK.now_ms() + seconds * _MS_PER_S
    suspicions: set[FalseSuspicion] = set()
    while _CLOCK.now_ms() < end_ms:
        for process in daemons:
            suspicions |= _false_suspicions(process)
        time.sleep(_POLL_S)
    return suspicions


def _false_suspicions(observer: Process) -> set[FalseSuspicion]:
    return {
        FalseSuspicion(observer=observer.name, subject=subject, state=state)
        for subject, state in fetch_member_states(
            observer.ready['operator']
        ).items()
        if state != _ALIVE
    }


def _detection_time_ms(
    observer: Process,
    killed: str,
    since_ms: float,
) -> float:
    elapsed_ms: float = 0
    while elapsed_ms < _POLL_TIMEOUT_MS:
        state = fetch_member_states(observer.ready['operator']).get(killed, '')
        elapsed_ms = _CLOCK.now_ms() - since_ms
        if state not in _SERVING_STATES:
            return elapsed_ms
        time.sleep(_POLL_S)
    return _TIMED_OUT_MS
