"""Experiment `control`: cost of control traffic, idle and with patches."""

import time
from typing import Final

from fennelfork import system_clock
from fennelfork_bench.experiments._cost import (
    Cost,
    collect_cost_metrics,
    compute_costs,
    measure_costs,
    read_costs,
)
from fennelfork_bench.experiments._small_fleet import (
    DEFAULT_DAEMONS,
    build_hedge_patch,
    small_fleet,
)
from fennelfork_bench.rig._config import send_patch, start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import RigError, rig
from fennelfork_bench.rig._report import Arm, Report

_CLOCK: Final = system_clock()
# Membership updates of the start are sent for a while.
_STARTUP_GOSSIP_S: Final = 40
_WINDOW_S: Final = 60
_PATCH_INTERVAL_S: Final = 2
_MS_PER_S: Final = 1000
_DAY_S: Final = 86_400
_PATCHES_PER_DAY: Final = 1800
_CORE_METRIC: Final = 'core_percent_mean'
_BYTES_METRIC: Final = 'kb_per_s_mean'


def run(seed: int) -> Report:
    """Measure an idle window and a window with patches on one fleet.

    The third arm interpolates between the two windows to the daily number of
    patches of a production fleet.

    Args:
        seed: seed of the service times.
    """
    with rig() as started:
        fleet = start_fleet(started, small_fleet(DEFAULT_DAEMONS, seed))
        time.sleep(_STARTUP_GOSSIP_S)
        idle = collect_cost_metrics(
            measure_costs(fleet.running_daemons, _WINDOW_S)
        )
        patched = collect_cost_metrics(_patched_costs(fleet))
    arms = (
        Arm(name='rest', metrics=idle),
        Arm(name='patch_each_2_s', metrics=patched),
        Arm(
            name='worked_out_1800_a_day',
            metrics=_interpolated_costs(idle, patched),
        ),
    )
    return Report(experiment='control', seed=seed, arms=arms)


def _patched_costs(fleet: Fleet) -> list[Cost]:
    before = read_costs(fleet.running_daemons)
    base = 1
    for number in range(_WINDOW_S // _PATCH_INTERVAL_S):
        started_ms = _CLOCK.now_ms()
        operator = fleet.operators[number % DEFAULT_DAEMONS]
        reply = send_patch(operator, build_hedge_patch(number + 1), base)
        if not reply.is_success:
            raise RigError(
                f'the daemon at {operator} refused the patch: {reply}'
            )
        base = reply.body['version']
        elapsed_s = (_CLOCK.now_ms() - started_ms) / _MS_PER_S
        time.sleep(max(0, _PATCH_INTERVAL_S - elapsed_s))
    return compute_costs(before, read_costs(fleet.running_daemons))


def _interpolated_costs(
    idle: dict[str, float],
    patched: dict[str, float],
) -> dict[str, float]:
    share = _PATCHES_PER_DAY * _PATCH_INTERVAL_S / _DAY_S
    return {
        name: idle[name] + (patched[name] - idle[name]) * share
        for name in (_CORE_METRIC, _BYTES_METRIC)
    }
