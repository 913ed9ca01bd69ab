"""Experiment `tail`: what a hedge brings when one in 100 straggles."""

import itertools
from typing import Final

from fennelfork_bench.experiments._fleet import (
    FrontSize,
    put_hedge,
    start_front,
)
from fennelfork_bench.experiments._load import (
    Measured,
    front_load,
    joined,
    measure,
    violations,
    warm_up,
)
from fennelfork_bench.experiments._metrics import (
    FIXED_HEDGE,
    NO_HEDGE,
    QUANTILE_HEDGE,
    latency_metrics,
    outcome_metrics,
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
    """Run every arm in turn, in two rounds, on one fleet."""
    rounds: dict[str, list[Measured]] = {policy: [] for policy in _ARMS}
    with rig() as own:
        fleet = start_front(own, _SIZE, seed)
        for turn in range(_ROUNDS):
            for policy, measured in rounds.items():
                measured.append(_measure(fleet, policy, turn, seed))
    return Report(
        experiment='tail',
        seed=seed,
        arms=_arms(rounds),
        failures=violations(itertools.chain.from_iterable(rounds.values())),
    )


def _measure(fleet: Fleet, policy: str, turn: int, seed: int) -> Measured:
    put_hedge(fleet, _ARMS[policy])
    load = front_load(
        fleet,
        _SIZE,
        rate_per_s=_RATE_PER_S,
        count=_COUNT,
        caller=f'{policy}-{turn}',
        seed=seed + turn,
    )
    warm_up(fleet, load)
    return measure(fleet, load)


def _arms(rounds: dict[str, list[Measured]]) -> tuple[Arm, ...]:
    base_ms = latency_metrics(joined(rounds['none']).tally)['p99_ms']
    return tuple(
        _arm(policy, joined(parts), base_ms) for policy, parts in rounds.items()
    )


def _arm(name: str, measured: Measured, base_ms: float) -> Arm:
    tally = measured.tally
    latency = latency_metrics(tally)
    return Arm(
        name=name,
        metrics={
            **latency,
            'p99_of_none': latency['p99_ms'] / max(base_ms, 1),
            **outcome_metrics(measured),
            'extra_load': measured.extra_load,
            'hedges_per_sub_query': tally.counts['hedges'] / measured.needed,
        },
    )
