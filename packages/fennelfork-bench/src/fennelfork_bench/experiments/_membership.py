"""Experiment `membership`: failure detection, false suspicions and cost."""

import os
import sys
import time
from typing import Final

from fennelfork import system_clock
from fennelfork_bench.experiments._cost import (
    collect_cost_metrics,
    measure_costs,
)
from fennelfork_bench.experiments._members import (
    measure_detection_times_ms,
    watch_for_false_suspicions,
)
from fennelfork_bench.experiments._small_fleet import SIZES, small_fleet
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Process, rig
from fennelfork_bench.rig._report import Arm, Report, percentile

_CLOCK: Final = system_clock()
# Membership updates of the start are sent for a while.
_STARTUP_GOSSIP_S: Final = 75
_SETTLE_S: Final = 10
_IDLE_S: Final = 30
_BUSY_S: Final = 20
_KILLS: Final = 3
_SECONDS_PER_HOUR: Final = 3600
_MEDIAN: Final = 0.5
_BUSY_LOOP: Final = 'while True: sum(range(1000))'


def run(seed: int) -> Report:
    """Measure each fleet size on a separate fleet.

    Args:
        seed: seed of the service times.
    """
    arms = tuple(_build_arm(size, seed) for size in SIZES)
    return Report(experiment='membership', seed=seed, arms=arms)


def _build_arm(size: int, seed: int) -> Arm:
    with rig() as started:
        fleet = start_fleet(started, small_fleet(size, seed))
        time.sleep(_STARTUP_GOSSIP_S)
        metrics = {
            'daemons': size,
            **_idle_metrics(fleet),
            **_false_suspicion_metrics(fleet, 'rest', _IDLE_S),
            **_busy_metrics(fleet),
            **_kill_metrics(fleet),
        }
    return Arm(name=f'daemons_{size}', metrics=metrics)


def _idle_metrics(fleet: Fleet) -> dict[str, float]:
    since_ms = _CLOCK.now_ms()
    reads_before = fleet.platform.count_vm_list_reads()
    costs = measure_costs(fleet.running_daemons, _IDLE_S)
    log = fleet.platform.log(since_ms)
    reads = fleet.platform.count_vm_list_reads() - reads_before
    return {
        **collect_cost_metrics(costs),
        'watches': log['watching'],
        'key_value_calls_per_s': len(log['calls']) / _IDLE_S,
        'vm_list_reads_per_s': reads / _IDLE_S,
    }


def _false_suspicion_metrics(
    fleet: Fleet, name: str, seconds: float
) -> dict[str, float]:
    suspicions = watch_for_false_suspicions(fleet.running_daemons, seconds)
    suspected = {suspicion.subject for suspicion in suspicions}
    declared_dead = [
        suspicion for suspicion in suspicions if suspicion.state == 'dead'
    ]
    hours = seconds / _SECONDS_PER_HOUR
    return {
        f'false_suspicions_per_hour_{name}': len(suspected) / hours,
        f'false_deaths_{name}': len(declared_dead),
    }


def _busy_metrics(fleet: Fleet) -> dict[str, float]:
    busy_loops = [_start_busy_loop(fleet) for _ in range(os.cpu_count() or 1)]
    suspicions = _false_suspicion_metrics(fleet, 'busy', _BUSY_S)
    for busy_loop in busy_loops:
        busy_loop.kill()
    time.sleep(_SETTLE_S)
    return suspicions


def _start_busy_loop(fleet: Fleet) -> Process:
    return fleet.rig.start('burner', (sys.executable, '-c', _BUSY_LOOP))


def _kill_metrics(fleet: Fleet) -> dict[str, float]:
    times_ms: list[float] = []
    for process in fleet.running_daemons[:_KILLS]:
        process.kill()
        killed_ms = _CLOCK.now_ms()
        times_ms += measure_detection_times_ms(
            fleet.running_daemons, process.name, killed_ms
        )
    return {
        'kills': _KILLS,
        'notice_p50_ms': percentile(times_ms, _MEDIAN),
        'notice_max_ms': max(times_ms),
    }
