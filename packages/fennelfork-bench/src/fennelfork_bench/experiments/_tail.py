"""Experiment `tail`: effect of hedges on the tail latency."""

import itertools
from typing import Final

from fennelfork_bench.experiments._fleet import (
    FrontSize,
    apply_hedge_policy,
    start_front_fleet,
)
from fennelfork_bench.experiments._load import (
    LoadResult,
    collect_violations,
    front_load_spec,
    measure_load,
    merge_rounds,
    warm_up,
)
from fennelfork_bench.experiments._metrics import (
    FIXED_HEDGE,
    NO_HEDGE,
    QUANTILE_HEDGE,
    collect_latency_metrics,
    collect_outcome_metrics,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_STRAGGLE: Final = 0.01
_SIZE: Final = FrontSize(shards=10, straggle=_STRAGGLE)
_RATE_PER_S: Final = 30
_COUNT: Final = 1000
_ROUNDS: Final = 2

_ARMS: Final = {
    'none': NO_HEDGE,
    'fixed': FIXED_HEDGE,
    'quantile': QUANTILE_HEDGE,
}


def run(seed: int) -> Report:
    """Run all hedge policies in turn, in two rounds, on one fleet."""
    rounds: dict[str, list[LoadResult]] = {policy: [] for policy in _ARMS}
    with rig() as own:
        fleet = start_front_fleet(own, _SIZE, seed)
        for turn in range(_ROUNDS):
            for policy, measured in rounds.items():
                measured.append(_measure(fleet, policy, turn, seed))
    return Report(
        experiment='tail',
        seed=seed,
        arms=_build_arms(rounds),
        failures=collect_violations(
            itertools.chain.from_iterable(rounds.values())
        ),
    )


def _measure(fleet: Fleet, policy: str, turn: int, seed: int) -> LoadResult:
    apply_hedge_policy(fleet, _ARMS[policy])
    load = front_load_spec(
        fleet,
        _SIZE,
        rate_per_s=_RATE_PER_S,
        count=_COUNT,
        caller=f'{policy}-{turn}',
        seed=seed + turn,
    )
    warm_up(fleet, load)
    return measure_load(fleet, load)


def _build_arms(rounds: dict[str, list[LoadResult]]) -> tuple[Arm, ...]:
    baseline_p99_ms = collect_latency_metrics(
        merge_rounds(rounds['none']).tally
    )['p99_ms']
    return tuple(
        _build_arm(policy, merge_rounds(parts), baseline_p99_ms)
        for policy, parts in rounds.items()
    )


def _build_arm(name: str, measured: LoadResult, baseline_p99_ms: float) -> Arm:
    tally = measured.tally
    latency = collect_latency_metrics(tally)
    return Arm(
        name=name,
        metrics={
            **latency,
            'p99_of_none': latency['p99_ms'] / max(baseline_p99_ms, 1),
            **collect_outcome_metrics(measured),
            'extra_load': measured.extra_load,
            'hedges_per_sub_query': tally.counts['hedges'] / measured.required,
        },
    )
