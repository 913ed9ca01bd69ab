"""Experiment `silent`: open connections that become unresponsive."""

import itertools
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from fennelfork_bench.experiments._fleet import (
    FrontSize,
    apply_hedge_policy,
    inject_faults,
    start_front_fleet,
)
from fennelfork_bench.experiments._load import (
    LoadResult,
    collect_violations,
    front_load_spec,
    measure_load,
    warm_up,
)
from fennelfork_bench.experiments._metrics import (
    NO_HEDGE,
    QUANTILE_HEDGE,
    collect_latency_metrics,
    collect_outcome_metrics,
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
    """Hedge policy and fault injection of one arm."""

    name: str
    hedge: dict[str, Any]
    injects_silence: bool


# A connection without a response at the hedge delay becomes suspect. Without
# hedging, an unresponsive connection is only detected by the deadline.
_CASES: Final = (
    _Case(name='steady', hedge=QUANTILE_HEDGE, injects_silence=False),
    _Case(name='undetected', hedge=NO_HEDGE, injects_silence=True),
    _Case(name='detected', hedge=QUANTILE_HEDGE, injects_silence=True),
)


def run(seed: int) -> Report:
    """Run the arms in turn and silence connections of one server at a time."""
    with rig() as own:
        fleet = start_front_fleet(own, _SIZE, seed)
        measured = [_measure(fleet, case, seed) for case in _CASES]
    return Report(
        experiment='silent',
        seed=seed,
        arms=tuple(map(_build_arm, _CASES, measured)),
        failures=collect_violations(measured),
    )


def _measure(fleet: Fleet, case: _Case, seed: int) -> LoadResult:
    apply_hedge_policy(fleet, case.hedge)
    load = front_load_spec(
        fleet,
        _SIZE,
        rate_per_s=_RATE_PER_S,
        count=_COUNT,
        deadline_ms=_DEADLINE_MS,
        caller=case.name,
        seed=seed,
    )
    warm_up(fleet, load)
    return measure_load(fleet, load, _silence_injector(fleet, case))


def _silence_injector(fleet: Fleet, case: _Case) -> Callable[[], object]:
    if not case.injects_silence:
        return bool
    servers: Iterator[str] = itertools.cycle(fleet.backends)
    return lambda: inject_faults(fleet, next(servers), silence=True)


def _build_arm(case: _Case, measured: LoadResult) -> Arm:
    tally = measured.tally
    return Arm(
        name=case.name,
        metrics={
            **collect_latency_metrics(tally),
            **collect_outcome_metrics(measured),
            'not_complete': tally.counts['offered'] - tally.counts['complete'],
            'extra_load': measured.extra_load,
        },
    )
