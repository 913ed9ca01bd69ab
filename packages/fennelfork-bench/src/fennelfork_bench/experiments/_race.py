"""Operators that race to patch the configuration."""

import random
import time
from collections import Counter
from typing import Final

import attrs
import eventlet

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, send_patch, version
from fennelfork_bench.rig._fleet import Fleet

_OPERATORS: Final = 8
_WINS: Final = 5
_ATTEMPTS: Final = 400
_PAUSE_S: Final = 0.05
_LOSS_PAUSE_S: Final = 0.3
_CONFLICT: Final = 409
_FIRST: Final = 1
_VERSION: Final = 'version'


@attrs.define(kw_only=True)
class RaceLog:
    """What the operators were told and what an observer saw.

    Attributes:
        wins: version of each accepted patch, by patch id.
        conflicts: patches that lost against another.
        unknown: replies that left the writer unsure, asked again.
        reverted: how often a daemon showed a lower version than before.
        over: ends the observer and the faults.
    """

    wins: dict[str, int] = attrs.field(factory=dict)
    conflicts: int = 0
    unknown: int = 0
    reverted: int = 0
    over: bool = False


def race(fleet: Fleet, lose_replies: bool) -> dict[str, float]:
    """Let eight operators patch the same versions at once.

    Args:
        fleet: with the fronts in force as version 1.
        lose_replies: whether some writes take effect without a reply.

    Returns:
        Counts, among them versions skipped, doubled and reverted.
    """
    log = RaceLog()
    helpers = eventlet.GreenPool()
    helpers.spawn(_observe, fleet.operators, log)
    if lose_replies:
        helpers.spawn(_lose_replies, fleet, log)
    operators = eventlet.GreenPool()
    for number in range(_OPERATORS):
        address = fleet.operators[number % len(fleet.operators)]
        operators.spawn(_operate, address, f'operator-{number}', log)
    operators.waitall()
    newest = max(log.wins.values(), default=0)
    await_version(fleet, newest)
    log.over = True
    helpers.waitall()
    return _counts(fleet, log)


def _operate(address: str, author: str, log: RaceLog) -> None:
    base = _FIRST
    won = 0
    for _ in range(_ATTEMPTS):
        patch_id = f'{author}-{won + 1}'
        patch = {'tenants': {author: {'weight': won + 1}}}
        reply = send_patch(address, patch, base, author, patch_id)
        if reply.fine:
            won += 1
            log.wins[patch_id] = reply.body[_VERSION]
        elif reply.status == _CONFLICT:
            log.conflicts += 1
        else:
            log.unknown += 1
            time.sleep(_PAUSE_S)
        base = reply.body.get(_VERSION, base)
        if won == _WINS:
            return


def _observe(operators: list[str], log: RaceLog) -> None:
    highest: Counter[str] = Counter()
    randomness = random.Random(_FIRST)
    while not log.over:
        operator = randomness.choice(operators)
        seen = version(operator)
        if 0 <= seen < highest[operator]:
            log.reverted += 1
        highest[operator] = max(highest[operator], seen)
        time.sleep(_PAUSE_S)


def _lose_replies(fleet: Fleet, log: RaceLog) -> None:
    while not log.over:
        fleet.platform.switch(lose_replies=1)
        time.sleep(_LOSS_PAUSE_S)
    fleet.platform.switch(lose_replies=0)


def _counts(fleet: Fleet, log: RaceLog) -> dict[str, float]:
    history = http.get(fleet.operators[0], '/v1/config/history').body
    recorded = [each[_VERSION] for each in history['patches']]
    calls = fleet.platform.log()['calls']
    told = list(log.wins.values())
    return {
        'operators': _OPERATORS,
        'wanted': _OPERATORS * _WINS,
        'accepted': len(told),
        'conflicts': log.conflicts,
        'unknown_replies': log.unknown,
        'writes_without_reply': sum(
            call['outcome'] == 'reply_lost' for call in calls
        ),
        'skipped': _skipped(recorded) + _skipped([_FIRST, *told]),
        'doubled': _doubled(recorded) + _doubled(told),
        'reverted': log.reverted,
    }


def _skipped(versions: list[int]) -> int:
    span = range(min(versions), max(versions) + 1)
    return len(set(span).difference(versions))


def _doubled(versions: list[int]) -> int:
    return len(versions) - len(set(versions))
