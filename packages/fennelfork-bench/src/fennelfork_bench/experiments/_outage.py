"""Experiment `outage`: an outage of the platform's key-value service."""

import time
from typing import Final

from fennelfork import system_clock
from fennelfork_bench.experiments._small_fleet import (
    DEFAULT_DAEMONS,
    build_hedge_patch,
    small_fleet,
)
from fennelfork_bench.experiments._steady_load import (
    SteadyLoad,
    collect_load_metrics,
    steady_load,
)
from fennelfork_bench.rig._config import (
    await_version,
    send_patch,
    start_fleet,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_CLOCK: Final = system_clock()
_OUTAGE_S: Final = 60
_RESTART_AFTER_S: Final = 20
_RECOVERY_S: Final = 10
_MS_PER_S: Final = 1000
_RESTARTED_DAEMON: Final = 'vm-3'
_FAULTS: Final = {
    'down': {'down': True},
    'slow': {'slow_ms': 30_000},
    'refused': {'refuse': True},
}


def run(seed: int) -> Report:
    """Measure each kind of outage on a separate fleet.

    Args:
        seed: seed of the requested keys and of the service times.
    """
    arms = tuple(_build_arm(name, seed) for name in _FAULTS)
    failures = tuple(
        f'{arm.name}: {name} is {arm.metrics[name]:.0f}'
        for arm in arms
        for name in ('failed', 'wrong', 'patches_taken', 'lost_patch')
        if arm.metrics[name]
    )
    return Report(experiment='outage', seed=seed, arms=arms, failures=failures)


def _build_arm(name: str, seed: int) -> Arm:
    with rig() as started:
        fleet = start_fleet(started, small_fleet(DEFAULT_DAEMONS, seed))
        load = steady_load(fleet.callers, seed)
        load.start()
        metrics = _outage_metrics(fleet, load, name)
        load.stop()
    return Arm(name=name, metrics=metrics)


def _outage_metrics(
    fleet: Fleet, load: SteadyLoad, name: str
) -> dict[str, float]:
    from_ms = _CLOCK.now_ms()
    fleet.platform.set_faults(**_FAULTS[name])
    time.sleep(_RESTART_AFTER_S)
    refused = send_patch(fleet.operators[0], build_hedge_patch(2), 1)
    restart_ms = _restart_daemon(fleet)
    time.sleep(_OUTAGE_S - (_CLOCK.now_ms() - from_ms) / _MS_PER_S)
    recovered_ms = _CLOCK.now_ms()
    fleet.platform.set_faults(down=False, slow_ms=0, refuse=False)
    time.sleep(_RECOVERY_S)
    calls = fleet.platform.log(from_ms)['calls']
    samples = load.samples_between(from_ms, recovered_ms)
    accepted = send_patch(fleet.operators[0], build_hedge_patch(3), 1)
    if accepted.is_success:
        await_version(fleet, accepted.body['version'])
    return {
        **collect_load_metrics(samples),
        'patches_taken': int(refused.is_success),
        'restart_ms': restart_ms,
        'calls_while_away': _count_calls(calls, from_ms, recovered_ms),
        'calls_first_second': _count_calls(
            calls, recovered_ms, recovered_ms + _MS_PER_S
        ),
        'calls_after': _count_calls(calls, recovered_ms, _CLOCK.now_ms()),
        'lost_patch': int(not accepted.is_success),
    }


def _restart_daemon(fleet: Fleet) -> float:
    fleet.daemons[_RESTARTED_DAEMON].kill()
    from_ms = _CLOCK.now_ms()
    fleet.start_daemons((fleet.daemon_spec(_RESTARTED_DAEMON),))
    await_version(fleet, 1)
    return _CLOCK.now_ms() - from_ms


def _count_calls(
    calls: list[dict[str, float]],
    from_ms: float,
    to_ms: float,
) -> int:
    return sum(from_ms <= call['at_ms'] < to_ms for call in calls)
