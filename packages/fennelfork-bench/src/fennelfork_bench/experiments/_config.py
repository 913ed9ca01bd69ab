"""Experiment `config`: how fast a patch is in force, and who wins races."""

import itertools
import random
import time
from typing import Final

import eventlet

from fennelfork import system_clock
from fennelfork_bench.experiments._race import race
from fennelfork_bench.experiments._small_fleet import (
    SIZES,
    TODAY,
    hedge_patch,
    small_fleet,
)
from fennelfork_bench.rig._config import send_patch, start_fleet, version
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import RigError, rig
from fennelfork_bench.rig._report import Arm, Report, percentile

_PATCHES: Final = 20
_POLL_S: Final = 0.02
_PAUSE_S: Final = 0.5
_CAP_MS: Final = 60_000
_MEDIAN: Final = 0.5
_NEVER_MS: Final = 1e6
_MS_PER_S: Final = 1000
_CLOCK: Final = system_clock()


def run(seed: int) -> Report:
    """Measure the spread at each size, then two races of eight operators.

    Args:
        seed: which daemons take the patches, and service times.
    """
    arms = [_spread_arm(size, seed) for size in SIZES]
    for name, lose_replies in (('race', False), ('race_lost_replies', True)):
        with rig() as started:
            fleet = start_fleet(started, small_fleet(TODAY, seed))
            arms.append(Arm(name=name, metrics=race(fleet, lose_replies)))
    return Report(
        experiment='config',
        seed=seed,
        arms=tuple(arms),
        failures=tuple(itertools.chain.from_iterable(map(_broken, arms))),
    )


def _spread_arm(size: int, seed: int) -> Arm:
    with rig() as started:
        fleet = start_fleet(started, small_fleet(size, seed))
        since_ms = _CLOCK.now_ms()
        spreads = _spreads(fleet, random.Random(seed))
        minutes = (_CLOCK.now_ms() - since_ms) / _MS_PER_S
        log = fleet.platform.log(since_ms)
    slowest = [max(times) for times in spreads]
    each = list(itertools.chain.from_iterable(spreads))
    return Arm(
        name=f'daemons_{size}',
        metrics={
            'daemons': size,
            'patches': len(spreads),
            'p50_ms': percentile(slowest, _MEDIAN),
            'max_ms': max(slowest),
            'one_daemon_p50_ms': percentile(each, _MEDIAN),
            'watches': log['watching'],
            'platform_calls_per_s': len(log['calls']) / minutes,
        },
    )


def _spreads(fleet: Fleet, randomness: random.Random) -> list[list[float]]:
    spreads = []
    base = 1
    for number in range(_PATCHES):
        operator = randomness.choice(fleet.operators)
        reply = send_patch(operator, hedge_patch(number + 1), base)
        accepted_ms = _CLOCK.now_ms()
        if not reply.fine:
            raise RigError(f'patch refused: {reply}')
        base = reply.body['version']
        spreads.append(_arrivals_ms(fleet.operators, base, accepted_ms))
        time.sleep(_PAUSE_S)
    return spreads


def _arrivals_ms(
    operators: list[str],
    wanted: int,
    accepted_ms: float,
) -> list[float]:
    pool = eventlet.GreenPool()
    waiting = [
        pool.spawn(_arrival_ms, operator, wanted, accepted_ms)
        for operator in operators
    ]
    return [each.wait() for each in waiting]


def _arrival_ms(operator: str, wanted: int, accepted_ms: float) -> float:
    took_ms: float = 0
    while took_ms < _CAP_MS:
        seen = version(operator)
        took_ms = _CLOCK.now_ms() - accepted_ms
        if seen >= wanted:
            return took_ms
        time.sleep(_POLL_S)
    return _NEVER_MS


def _broken(arm: Arm) -> list[str]:
    return [
        f'{arm.name}: {name} is {arm.metrics[name]:.0f}'
        for name in ('skipped', 'doubled', 'reverted')
        if arm.metrics.get(name)
    ]
