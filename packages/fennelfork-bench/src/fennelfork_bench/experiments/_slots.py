"""Experiment `slots`: routing modes that count the slots of servers."""

import contextlib
from typing import Final

from fennelfork_bench.experiments._fleet import FrontSize, start_front_fleet
from fennelfork_bench.experiments._load import (
    LoadResult,
    front_load_spec,
    measure_load,
    warm_up,
)
from fennelfork_bench.experiments._metrics import (
    collect_latency_metrics,
    collect_outcome_metrics,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_STRAGGLE: Final = 0.01
# A long service time lets one machine fill every slot.
_MEAN_MS: Final = 150
_SIZE: Final = FrontSize(shards=4, mean_ms=_MEAN_MS, straggle=_STRAGGLE)
_DURATION_S: Final = 20
_DEADLINE_MS: Final = 4000
_LOADS: Final = (0.5, 0.7, 0.85, 1.2)
_MODES: Final = (
    ('independent', 'direct'),
    ('static', 'static'),
    ('home', 'home'),
)


def run(seed: int) -> Report:
    """Run every load on one fleet per routing mode."""
    arms = []
    failures: list[str] = []
    with contextlib.ExitStack() as rigs:
        fleets = [(name, _start(rigs, mode, seed)) for name, mode in _MODES]
        for load_share in _LOADS:
            for name, fleet in fleets:
                measured = _measure(fleet, load_share, seed)
                arms.append(_build_arm(f'{name}@{load_share}', measured))
                failures.extend(measured.tally.violations)
    return Report(
        experiment='slots',
        seed=seed,
        arms=tuple(arms),
        failures=tuple(failures),
    )


def _start(rigs: contextlib.ExitStack, mode: str, seed: int) -> Fleet:
    own = rigs.enter_context(rig())
    return start_front_fleet(own, _SIZE, seed, {'routing': {'mode': mode}})


def _measure(fleet: Fleet, load_share: float, seed: int) -> LoadResult:
    rate_per_s = _SIZE.capacity_per_s * load_share
    load = front_load_spec(
        fleet,
        _SIZE,
        rate_per_s=rate_per_s,
        count=round(rate_per_s * _DURATION_S),
        deadline_ms=_DEADLINE_MS,
        caller=f'load-{load_share}',
        seed=seed,
    )
    warm_up(fleet, load)
    return measure_load(fleet, load)


def _build_arm(name: str, measured: LoadResult) -> Arm:
    tally = measured.tally
    return Arm(
        name=name,
        metrics={
            **collect_latency_metrics(tally),
            **collect_outcome_metrics(measured),
            'sheds_per_sub_query': measured.sheds_per_sub_query,
            'goodput_per_s': tally.per_second('complete'),
            'daemon_us_per_query': measured.daemon_us / tally.counts['offered'],
        },
    )
