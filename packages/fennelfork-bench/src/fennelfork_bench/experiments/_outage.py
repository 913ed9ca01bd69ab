"""Experiment `outage`: the platform's key-value service is away for 60 s."""

import time
from typing import Final

from fennelfork import system_clock
from fennelfork_bench.experiments._small_fleet import (
    TODAY,
    hedge_patch,
    small_fleet,
)
from fennelfork_bench.experiments._steady_load import (
    SteadyLoad,
    load_metrics,
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
_AWAY_S: Final = 60
_RESTART_AFTER_S: Final = 20
_AFTER_S: Final = 10
_SECOND_MS: Final = 1000
_RESTARTED: Final = 'vm-3'
_FAULTS: Final = {
    'down': {'down': True},
    'slow': {'slow_ms': 30_000},
    'refused': {'refuse': True},
}


def run(seed: int) -> Report:
    """Measure each kind of outage on a fleet of its own.

    Args:
        seed: of the keys asked for and the service times.
    """
    arms = tuple(_arm(name, seed) for name in _FAULTS)
    failures = tuple(
        f'{arm.name}: {name} is {arm.metrics[name]:.0f}'
        for arm in arms
        for name in ('failed', 'wrong', 'patches_taken', 'lost_patch')
        if arm.metrics[name]
    )
    return Report(experiment='outage', seed=seed, arms=arms, failures=failures)


def _arm(name: str, seed: int) -> Arm:
    with rig() as started:
        fleet = start_fleet(started, small_fleet(TODAY, seed))
        load = steady_load(fleet.callers, seed)
        load.start()
        metrics = _away(fleet, load, name)
        load.stop()
    return Arm(name=name, metrics=metrics)


def _away(fleet: Fleet, load: SteadyLoad, name: str) -> dict[str, float]:
    from_ms = _CLOCK.now_ms()
    fleet.platform.switch(**_FAULTS[name])
    time.sleep(_RESTART_AFTER_S)
    refused = send_patch(fleet.operators[0], hedge_patch(2), 1)
    started_ms = _restart(fleet)
    time.sleep(_AWAY_S - (_CLOCK.now_ms() - from_ms) / _SECOND_MS)
    back_ms = _CLOCK.now_ms()
    fleet.platform.switch(down=False, slow_ms=0, refuse=False)
    time.sleep(_AFTER_S)
    calls = fleet.platform.log(from_ms)['calls']
    samples = load.between(from_ms, back_ms)
    accepted = send_patch(fleet.operators[0], hedge_patch(3), 1)
    if accepted.fine:
        await_version(fleet, accepted.body['version'])
    return {
        **load_metrics(samples),
        'patches_taken': int(refused.fine),
        'restart_ms': started_ms,
        'calls_while_away': _count(calls, from_ms, back_ms),
        'calls_first_second': _count(calls, back_ms, back_ms + _SECOND_MS),
        'calls_after': _count(calls, back_ms, _CLOCK.now_ms()),
        'lost_patch': int(not accepted.fine),
    }


def _restart(fleet: Fleet) -> float:
    fleet.daemons[_RESTARTED].kill()
    from_ms = _CLOCK.now_ms()
    fleet.start_daemons((fleet.daemon_spec(_RESTARTED),))
    await_version(fleet, 1)
    return _CLOCK.now_ms() - from_ms


def _count(
    calls: list[dict[str, float]],
    from_ms: float,
    to_ms: float,
) -> int:
    return sum(from_ms <= call['at_ms'] < to_ms for call in calls)
