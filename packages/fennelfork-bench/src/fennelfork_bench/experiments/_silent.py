"""Experiment `silent`: open connections go silent in the middle."""

import itertools
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from fennelfork_bench.experiments._fleet import (
    FrontSize,
    order_faults,
    put_hedge,
    start_front,
)
from fennelfork_bench.experiments._load import (
    Measured,
    front_load,
    measure,
    violations,
    warm_up,
)
from fennelfork_bench.experiments._metrics import (
    NO_HEDGE,
    QUANTILE_HEDGE,
    latency_metrics,
    outcome_metrics,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_SIZE: Final = FrontSize(shards=4)
_RATE_PER_S: Final = 60
_COUNT: Final = 1200
_DEADLINE_MS: Final = 2000


@attrs.frozen(kw_only=True)
class _Case:
    """One arm: the hedge policy, and whether connections go silent."""

    name: str
    hedge: dict[str, Any]
    silences: bool


# A connection without a byte by the hedge time is suspect: without a hedge
# there is no such time, and nothing but the deadline finds it.
_CASES: Final = (
    _Case(name='steady', hedge=QUANTILE_HEDGE, silences=False),
    _Case(name='undetected', hedge=NO_HEDGE, silences=True),
    _Case(name='detected', hedge=QUANTILE_HEDGE, silences=True),
)


def run(seed: int) -> Report:
    """Run the arms in turn; a second, one server's connections go silent."""
    with rig() as own:
        fleet = start_front(own, _SIZE, seed)
        measured = [_measure(fleet, case, seed) for case in _CASES]
    return Report(
        experiment='silent',
        seed=seed,
        arms=tuple(map(_arm, _CASES, measured)),
        failures=violations(measured),
    )


def _measure(fleet: Fleet, case: _Case, seed: int) -> Measured:
    put_hedge(fleet, case.hedge)
    load = front_load(
        fleet,
        _SIZE,
        rate_per_s=_RATE_PER_S,
        count=_COUNT,
        deadline_ms=_DEADLINE_MS,
        caller=case.name,
        seed=seed,
    )
    warm_up(fleet, load)
    return measure(fleet, load, _silencer(fleet, case))


def _silencer(fleet: Fleet, case: _Case) -> Callable[[], object]:
    if not case.silences:
        return bool
    servers: Iterator[str] = itertools.cycle(fleet.backends)
    return lambda: order_faults(fleet, next(servers), silence=True)


def _arm(case: _Case, measured: Measured) -> Arm:
    tally = measured.tally
    return Arm(
        name=case.name,
        metrics={
            **latency_metrics(tally),
            **outcome_metrics(measured),
            'not_complete': tally.counts['offered'] - tally.counts['complete'],
            'extra_load': measured.extra_load,
        },
    )
