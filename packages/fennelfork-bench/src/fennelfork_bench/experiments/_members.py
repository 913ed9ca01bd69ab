"""What the daemons of a fleet believe of each other."""

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
_CAP_MS: Final = 60_000
_NEVER_MS: Final = 1e6
_SERVING: Final = frozenset(('alive', 'leaving'))
_ALIVE: Final = 'alive'


@attrs.frozen(kw_only=True, order=True)
class Doubt:
    """One daemon believes that another is not alive."""

    observer: str
    subject: str
    state: str


def beliefs(operator: str) -> dict[str, str]:
    """Read the states of all members as one daemon believes them."""
    members = http.get(operator, '/v1/members').body.get('members', ())
    return {member['name']: member['state'] for member in members}


def noticed_ms(
    observers: Sequence[Process],
    killed: str,
    since_ms: float,
) -> list[float]:
    """Wait until each observer no longer takes `killed` for alive.

    Args:
        observers: the daemons that live on.
        killed: name of the one that was killed.
        since_ms: when it was killed.

    Returns:
        How long each took.
    """
    pool = eventlet.GreenPool()
    waiting = [
        pool.spawn(_one_noticed_ms, each, killed, since_ms)
        for each in observers
    ]
    return [each.wait() for each in waiting]


def watch_for_doubts(
    daemons: Sequence[Process],
    seconds: float,
) -> set[Doubt]:
    """Poll the beliefs of daemons that are all alive.

    Args:
        daemons: every one of them truly alive.
        seconds: how long.

    Returns:
        Each false belief seen, once.
    """
    end_ms = _CLOCK.now_ms() + seconds * _MS_PER_S
    doubts: set[Doubt] = set()
    while _CLOCK.now_ms() < end_ms:
        for process in daemons:
            doubts |= _doubts(process)
        time.sleep(_POLL_S)
    return doubts


def _doubts(observer: Process) -> set[Doubt]:
    return {
        Doubt(observer=observer.name, subject=subject, state=state)
        for subject, state in beliefs(observer.ready['operator']).items()
        if state != _ALIVE
    }


def _one_noticed_ms(
    observer: Process,
    killed: str,
    since_ms: float,
) -> float:
    took_ms: float = 0
    while took_ms < _CAP_MS:
        state = beliefs(observer.ready['operator']).get(killed, '')
        took_ms = _CLOCK.now_ms() - since_ms
        if state not in _SERVING:
            return took_ms
        time.sleep(_POLL_S)
    return _NEVER_MS
