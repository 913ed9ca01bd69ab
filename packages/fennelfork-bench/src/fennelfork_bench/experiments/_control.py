"""Experiment `control`: what control costs one daemon, at rest and patched."""

import time
from typing import Final

from fennelfork import system_clock
from fennelfork_bench.experiments._cost import (
    Cost,
    cost_metrics,
    costs_between,
    costs_over,
    read_costs,
)
from fennelfork_bench.experiments._small_fleet import (
    TODAY,
    hedge_patch,
    small_fleet,
)
from fennelfork_bench.rig._config import send_patch, start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import RigError, rig
from fennelfork_bench.rig._report import Arm, Report

_CLOCK: Final = system_clock()
_NEWS_S: Final = 40  # news of the start is told for a while
_WINDOW_S: Final = 60
_PATCH_EVERY_S: Final = 2
_MS_PER_S: Final = 1000
_DAY_S: Final = 86_400
_PATCHES_A_DAY: Final = 1800
_CORE: Final = 'core_percent_mean'
_BYTES: Final = 'kb_per_s_mean'


def run(seed: int) -> Report:
    """Measure a window of rest and one of patches on the same fleet.

    The patches come faster than the letter's 1,800 a day, so that a window of
    a minute holds thirty; the third arm is worked out from the other two for
    the letter's rate.

    Args:
        seed: of the service times.
    """
    with rig() as started:
        fleet = start_fleet(started, small_fleet(TODAY, seed))
        time.sleep(_NEWS_S)
        rest = cost_metrics(costs_over(fleet.living, _WINDOW_S))
        patched = cost_metrics(_patched_costs(fleet))
    arms = (
        Arm(name='rest', metrics=rest),
        Arm(name='patch_each_2_s', metrics=patched),
        Arm(name='worked_out_1800_a_day', metrics=_at_rate(rest, patched)),
    )
    return Report(experiment='control', seed=seed, arms=arms)


def _patched_costs(fleet: Fleet) -> list[Cost]:
    before = read_costs(fleet.living)
    base = 1
    for number in range(_WINDOW_S // _PATCH_EVERY_S):
        due_ms = _CLOCK.now_ms()
        operator = fleet.operators[number % TODAY]
        reply = send_patch(operator, hedge_patch(number + 1), base)
        if not reply.fine:
            raise RigError(f'patch refused: {reply}')
        base = reply.body['version']
        spent_s = (_CLOCK.now_ms() - due_ms) / _MS_PER_S
        time.sleep(max(0, _PATCH_EVERY_S - spent_s))
    return costs_between(before, read_costs(fleet.living))


def _at_rate(
    rest: dict[str, float],
    patched: dict[str, float],
) -> dict[str, float]:
    share = _PATCHES_A_DAY * _PATCH_EVERY_S / _DAY_S
    return {
        name: rest[name] + (patched[name] - rest[name]) * share
        for name in (_CORE, _BYTES)
    }
