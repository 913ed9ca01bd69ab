"""Experiment `config`: propagation of patches, and races of operators."""

import itertools
import random
import time
from typing import Final

import eventlet

from fennelfork import system_clock
from fennelfork_bench.experiments._patch_race import run_patch_race
from fennelfork_bench.experiments._small_fleet import (
    DEFAULT_DAEMONS,
    SIZES,
    build_hedge_patch,
    small_fleet,
)
from fennelfork_bench.rig._config import fetch_version, send_patch, start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import RigError, rig
from fennelfork_bench.rig._report import Arm, Report, percentile

_PATCHES: Final = 20
_POLL_S: Final = 0.02
_PATCH_PAUSE_S: Final = 0.5
_POLL_TIMEOUT_MS: Final = 60_000
_MEDIAN: Final = 0.5
_TIMED_OUT_MS: Final = 1e6
_MS_PER_S: Final = 1000
_CLOCK: Final = system_clock()


def run(seed: int) -> Report:
    """Measure patch propagation at each size, then two patch races.

    Args:
        seed: seed of the choice of daemons and of the service times.
    """
    arms = [_propagation_arm(size, seed) for size in SIZES]
    for name, lose_replies in (('race', False), ('race_lost_replies', True)):
        with rig() as started:
            fleet = start_fleet(started, small_fleet(DEFAULT_DAEMONS, seed))
            arms.append(
                Arm(name=name, metrics=run_patch_race(fleet, lose_replies))
            )
    return Report(
        experiment='config',
        seed=seed,
        arms=tuple(arms),
        failures=tuple(itertools.chain.from_iterable(map(_failures, arms))),
    )


def _propagation_arm(size: int, seed: int) -> Arm:
    with rig() as started:
        fleet = start_fleet(started, small_fleet(size, seed))
        started_ms = _CLOCK.now_ms()
        times_by_patch = _propagation_times_ms(fleet, random.Random(seed))
        elapsed_s = (_CLOCK.now_ms() - started_ms) / _MS_PER_S
        log = fleet.platform.log(started_ms)
    slowest_ms = [max(times) for times in times_by_patch]
    all_times_ms = list(itertools.chain.from_iterable(times_by_patch))
    return Arm(
        name=f'daemons_{size}',
        metrics={
            'daemons': size,
            'patches': len(times_by_patch),
            'p50_ms': percentile(slowest_ms, _MEDIAN),
            'max_ms': max(slowest_ms),
            'one_daemon_p50_ms': percentile(all_times_ms, _MEDIAN),
            'watches': log['watching'],
            'platform_calls_per_s': len(log['calls']) / elapsed_s,
        },
    )


def _propagation_times_ms(
    fleet: Fleet, rng: random.Random
) -> list[list[float]]:
    times_by_patch = []
    base = 1
    for number in range(_PATCHES):
        operator = rng.choice(fleet.operators)
        reply = send_patch(operator, build_hedge_patch(number + 1), base)
        accepted_ms = _CLOCK.now_ms()
        if not reply.is_success:
            raise RigError(
                f'the daemon at {operator} refused the patch: {reply}'
            )
        base = reply.body['version']
        times_by_patch.append(
            _activation_times_ms(fleet.operators, base, accepted_ms)
        )
        time.sleep(_PATCH_PAUSE_S)
    return times_by_patch


def _activation_times_ms(
    operators: list[str],
    expected_version: int,
    accepted_ms: float,
) -> list[float]:
    pool = eventlet.GreenPool()
    pending = [
        pool.spawn(_activation_time_ms, operator, expected_version, accepted_ms)
        for operator in operators
    ]
    return [each.wait() for each in pending]


def _activation_time_ms(
    operator: str, expected_version: int, accepted_ms: float
) -> float:
    elapsed_ms: float = 0
    while elapsed_ms < _POLL_TIMEOUT_MS:
        active_version = fetch_version(operator)
        elapsed_ms = _CLOCK.now_ms() - accepted_ms
        if active_version >= expected_version:
            return elapsed_ms
        time.sleep(_POLL_S)
    return _TIMED_OUT_MS


def _failures(arm: Arm) -> list[str]:
    return [
        f'{arm.name}: {name} is {arm.metrics[name]:.0f}'
        for name in ('skipped', 'doubled', 'reverted')
        if arm.metrics.get(name)
    ]
