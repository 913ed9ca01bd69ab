"""Experiment `stop`: a rolling restart of every daemon under steady load."""

import time
from typing import Final

import attrs

from fennelfork import system_clock
from fennelfork_bench.experiments._small_fleet import TODAY, small_fleet
from fennelfork_bench.experiments._steady_load import (
    SteadyLoad,
    load_metrics,
    steady_load,
)
from fennelfork_bench.rig._config import await_version, start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_CLOCK: Final = system_clock()
_REST_S: Final = 15
_STOP_CAP_S: Final = 60
_MS_PER_S: Final = 1000
_CUT: Final = 'cut'
_TAIL: Final = 'p99_ms'


@attrs.define(kw_only=True)
class Restarts:
    """What the stopping daemons did."""

    unclean: int = 0
    slowest_ms: float = 0


def run(seed: int) -> Report:
    """Measure a time of rest, then the restarts, on one fleet.

    Args:
        seed: of the keys asked for and the service times.
    """
    with rig() as started:
        fleet = start_fleet(started, small_fleet(TODAY, seed))
        load = steady_load(fleet.callers, seed)
        load.start()
        arms = (_rest_arm(load), _rolling_arm(fleet, load))
        load.stop()
    rest, rolling = (arm.metrics for arm in arms)
    rolling['p99_ratio'] = rolling[_TAIL] / rest[_TAIL]
    failures = tuple(
        f'{name}: {rolling[name]:.0f}'
        for name in (_CUT, 'failed', 'wrong', 'unclean_exits')
        if rolling[name]
    )
    return Report(experiment='stop', seed=seed, arms=arms, failures=failures)


def _rest_arm(load: SteadyLoad) -> Arm:
    from_ms = _CLOCK.now_ms()
    time.sleep(_REST_S)
    samples = load.between(from_ms, _CLOCK.now_ms())
    return Arm(name='rest', metrics=load_metrics(samples))


def _rolling_arm(fleet: Fleet, load: SteadyLoad) -> Arm:
    from_ms = _CLOCK.now_ms()
    restarts = Restarts()
    for spec in fleet.spec.daemons:
        _restart(fleet, spec.name, restarts)
    samples = load.between(from_ms, _CLOCK.now_ms())
    return Arm(
        name='rolling_restart',
        metrics={
            **load_metrics(samples),
            'restarts': len(fleet.spec.daemons),
            'unclean_exits': restarts.unclean,
            'slowest_stop_ms': restarts.slowest_ms,
        },
    )


def _restart(fleet: Fleet, name: str, restarts: Restarts) -> None:
    process = fleet.daemons[name]
    fleet.mark_leaving(name)
    from_ms = _CLOCK.now_ms()
    process.terminate()
    if process.wait(_STOP_CAP_S) != 0:
        restarts.unclean += 1
        process.kill()
    took_ms = _CLOCK.now_ms() - from_ms
    restarts.slowest_ms = max(restarts.slowest_ms, took_ms)
    fleet.start_daemons((fleet.daemon_spec(name),))
    await_version(fleet, 1)
