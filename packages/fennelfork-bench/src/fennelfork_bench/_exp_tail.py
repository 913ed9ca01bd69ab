"""Experiment `tail`: what a hedge brings when one server in 100 straggles."""

from typing import Final

import attrs

from fennelfork_bench._caller_group import run_callers
from fennelfork_bench._caller_spec import LoadSpec
from fennelfork_bench._caller_tally import Tally, in_turn
from fennelfork_bench._exp_fleet import (
    FrontSize,
    put_hedge,
    server_counts,
    start_front,
)
from fennelfork_bench._exp_metrics import (
    FIXED_HEDGE,
    NO_HEDGE,
    QUANTILE_HEDGE,
    latency_metrics,
    outcome_metrics,
    violations,
)
from fennelfork_bench._rig_fleet import Fleet
from fennelfork_bench._rig_process import rig
from fennelfork_bench._rig_report import Arm, Report

_STRAGGLE: Final = 0.01
_SIZE: Final = FrontSize(shards=10, straggle=_STRAGGLE)
_RATE_PER_S: Final = 60
_COUNT: Final = 1500
_ROUNDS: Final = 2
_WARM_COUNT: Final = 200
_CALLER_LINK_MS: Final = 3

_ARMS: Final = (
    ('none', NO_HEDGE),
    ('fixed', FIXED_HEDGE),
    ('quantile', QUANTILE_HEDGE),
)


@attrs.define(kw_only=True)
class _Measured:
    """What one arm came to over its rounds."""

    tallies: list[Tally] = attrs.field(factory=list)
    started: int = 0


def run(seed: int) -> Report:
    """Run every arm in turn, in two rounds, on one fleet."""
    measured = {name: _Measured() for name, _ in _ARMS}
    with rig() as own:
        fleet = start_front(own, _SIZE, seed)
        for turn in range(_ROUNDS):
            for policy, hedge in _ARMS:
                put_hedge(fleet, hedge)
                caller = f'{policy}-{turn}'
                _round(fleet, measured[policy], caller, seed + turn)
    return Report(
        experiment='tail',
        seed=seed,
        arms=tuple(_arm(name, arm) for name, arm in measured.items()),
        failures=tuple(
            found
            for arm in measured.values()
            for found in violations(arm.tallies)
        ),
    )


def _round(fleet: Fleet, arm: _Measured, caller: str, seed: int) -> None:
    load = LoadSpec(
        entries=','.join(fleet.callers),
        keys=_SIZE.keys,
        rate_per_s=_RATE_PER_S,
        count=_COUNT,
        link_ms=_CALLER_LINK_MS,
        caller=caller,
        seed=seed,
    )
    # Connections, and quantiles of the new policy, are of the run before.
    warm = attrs.evolve(load, caller=f'warm-{caller}', count=_WARM_COUNT)
    run_callers(fleet.rig, warm)
    before = server_counts(fleet)
    arm.tallies.append(run_callers(fleet.rig, load))
    arm.started += (server_counts(fleet) - before)['started']


def _arm(name: str, measured: _Measured) -> Arm:
    tally = in_turn(measured.tallies)
    needed = tally.counts['offered'] * _SIZE.shards
    return Arm(
        name=name,
        metrics={
            **latency_metrics(tally),
            **outcome_metrics(tally),
            'extra_load': measured.started / needed - 1,
            'hedges_per_sub_query': tally.counts['hedges'] / needed,
        },
    )
