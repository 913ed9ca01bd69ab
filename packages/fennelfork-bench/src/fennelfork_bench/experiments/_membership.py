"""Experiment `membership`: notice of a kill, false suspicions, cost."""

import os
import sys
import time
from typing import Final

from fennelfork import system_clock
from fennelfork_bench.experiments._cost import cost_metrics, costs_over
from fennelfork_bench.experiments._members import noticed_ms, watch_for_doubts
from fennelfork_bench.experiments._small_fleet import SIZES, small_fleet
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Process, rig
from fennelfork_bench.rig._report import Arm, Report, percentile

_CLOCK: Final = system_clock()
_NEWS_S: Final = 75  # news of the start is told for a while
_SETTLE_S: Final = 10
_REST_S: Final = 30
_BUSY_S: Final = 20
_KILLS: Final = 3
_SECONDS_PER_HOUR: Final = 3600
_MEDIAN: Final = 0.5
_BURN: Final = 'while True: sum(range(1000))'


def run(seed: int) -> Report:
    """Measure each size on a fleet of its own.

    Args:
        seed: of the service times.
    """
    arms = tuple(_arm(size, seed) for size in SIZES)
    return Report(experiment='membership', seed=seed, arms=arms)


def _arm(size: int, seed: int) -> Arm:
    with rig() as started:
        fleet = start_fleet(started, small_fleet(size, seed))
        time.sleep(_NEWS_S)
        metrics = {
            'daemons': size,
            **_rest(fleet),
            **_false_doubts(fleet, 'rest', _REST_S),
            **_busy(fleet),
            **_kills(fleet),
        }
    return Arm(name=f'daemons_{size}', metrics=metrics)


def _rest(fleet: Fleet) -> dict[str, float]:
    since_ms = _CLOCK.now_ms()
    listed = fleet.platform.vm_list_reads()
    costs = costs_over(fleet.living, _REST_S)
    log = fleet.platform.log(since_ms)
    reads = fleet.platform.vm_list_reads() - listed
    return {
        **cost_metrics(costs),
        'watches': log['watching'],
        'key_value_calls_per_s': len(log['calls']) / _REST_S,
        'vm_list_reads_per_s': reads / _REST_S,
    }


def _false_doubts(fleet: Fleet, name: str, seconds: float) -> dict[str, float]:
    doubts = watch_for_doubts(fleet.living, seconds)
    suspected = {doubt.subject for doubt in doubts}
    declared = [doubt for doubt in doubts if doubt.state == 'dead']
    hours = seconds / _SECONDS_PER_HOUR
    return {
        f'false_suspicions_per_hour_{name}': len(suspected) / hours,
        f'false_deaths_{name}': len(declared),
    }


def _busy(fleet: Fleet) -> dict[str, float]:
    burners = [_burner(fleet) for _ in range(os.cpu_count() or 1)]
    doubts = _false_doubts(fleet, 'busy', _BUSY_S)
    for burner in burners:
        burner.kill()
    time.sleep(_SETTLE_S)
    return doubts


def _burner(fleet: Fleet) -> Process:
    return fleet.rig.start('burner', (sys.executable, '-c', _BURN))


def _kills(fleet: Fleet) -> dict[str, float]:
    times_ms: list[float] = []
    for process in fleet.living[:_KILLS]:
        process.kill()
        killed_ms = _CLOCK.now_ms()
        times_ms += noticed_ms(fleet.living, process.name, killed_ms)
    return {
        'kills': _KILLS,
        'notice_p50_ms': percentile(times_ms, _MEDIAN),
        'notice_max_ms': max(times_ms),
    }
