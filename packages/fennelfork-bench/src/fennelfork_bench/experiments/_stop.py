"""Experiment `stop`: a rolling restart of every daemon under steady load."""

import time
from typing import Final

import attrs

from fennelfork import system_clock
from fennelfork_bench.experiments._small_fleet import (
    DEFAULT_DAEMONS,
    small_fleet,
)
from fennelfork_bench.experiments._steady_load import (
    SteadyLoad,
    collect_load_metrics,
    steady_load,
)
from fennelfork_bench.rig._config import await_version, start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_CLOCK: Final = system_clock()
_BASELINE_S: Final = 15
_STOP_TIMEOUT_S: Final = 60
_MS_PER_S: Final = 1000
_CUT_METRIC: Final = 'cut'
_P99_METRIC: Final = 'p99_ms'


@attrs.define(kw_only=True)
class RestartStats:
    """Statistics of the daemons that were stopped."""

    unclean_exits: int = 0
    slowest_stop_ms: float = 0


def run(seed: int) -> Report:
    """Measure a baseline without restarts, then a rolling restart.

    Args:
        seed: seed of the requested keys and of the service times.
    """
    with rig() as started:
        fleet = start_fleet(started, small_fleet(DEFAULT_DAEMONS, seed))
        load = steady_load(fleet.callers, seed)
        load.start()
        arms = (_baseline_arm(load), _rolling_arm(fleet, load))
        load.stop()
    baseline, rolling = (arm.metrics for arm in arms)
    rolling['p99_ratio'] = rolling[_P99_METRIC] / baseline[_P99_METRIC]
    failures = tuple(
        f'{name}: {rolling[name]:.0f}'
        for name in (_CUT_METRIC, 'failed', 'wrong', 'unclean_exits')
        if rolling[name]
    )
    return Report(experiment='stop', seed=seed, arms=arms, failures=failures)


def _baseline_arm(load: SteadyLoad) -> Arm:
    from_ms = _CLOCK.now_ms()
    time.sleep(_BASELINE_S)
    samples = load.samples_between(from_ms, _CLOCK.now_ms())
    return Arm(name='rest', metrics=collect_load_metrics(samples))


def _rolling_arm(fleet: Fleet, load: SteadyLoad) -> Arm:
    from_ms = _CLOCK.now_ms()
    restarts = RestartStats()
    for spec in fleet.spec.daemons:
        _restart_daemon(fleet, spec.name, restarts)
    samples = load.samples_between(from_ms, _CLOCK.now_ms())
    return Arm(
        name='rolling_restart',
        metrics={
            **collect_load_metrics(samples),
            'restarts': len(fleet.spec.daemons),
            'unclean_exits': restarts.unclean_exits,
            'slowest_stop_ms': restarts.slowest_stop_ms,
        },
    )


def _restart_daemon(fleet: Fleet, name: str, restarts: RestartStats) -> None:
    process = fleet.daemons[name]
    fleet.mark_vm_leaving(name)
    from_ms = _CLOCK.now_ms()
    process.terminate()
    if process.wait(_STOP_TIMEOUT_S) != 0:
        restarts.unclean_exits += 1
        process.kill()
    elapsed_ms = _CLOCK.now_ms() - from_ms
    restarts.slowest_stop_ms = max(restarts.slowest_stop_ms, elapsed_ms)
    fleet.start_daemons((fleet.daemon_spec(name),))
    await_version(fleet, 1)
