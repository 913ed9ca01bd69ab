"""Experiment `overload`: goodput and refusals above the capacity."""

from collections.abc import Iterable, Iterator
from typing import Any, Final

from fennelfork_bench.backend_server._history import server_events
from fennelfork_bench.checks._refusal import check_refusal
from fennelfork_bench.experiments._fleet import (
    FrontSize,
    read_server_logs,
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
    collect_latency_metrics,
    collect_outcome_metrics,
    refusal_p99_ms,
)
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import merge_events, read_history
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_STRAGGLE: Final = 0.01
# A long service time lets one machine offer ten times the capacity.
_MEAN_MS: Final = 300
_SIZE: Final = FrontSize(shards=4, mean_ms=_MEAN_MS, straggle=_STRAGGLE)
_DURATION_S: Final = 15
_DEADLINE_MS: Final = 3000
_FACTORS: Final = (1, 3, 10)


def run(seed: int) -> Report:
    """Offer multiples of the capacity of the slots, one after the other."""
    with rig() as own:
        fleet = start_front_fleet(own, _SIZE, seed)
        measured = [_measure(fleet, factor, seed) for factor in _FACTORS]
        pages = list(read_server_logs(fleet))
        false_refusals = _false_refusals(fleet, pages)
    return Report(
        experiment='overload',
        seed=seed,
        arms=_build_arms(measured),
        failures=(
            *collect_violations(measured),
            *false_refusals,
            *_dropped_events(pages),
        ),
    )


def _measure(fleet: Fleet, factor: int, seed: int) -> LoadResult:
    rate_per_s = _SIZE.capacity_per_s * factor
    load = front_load_spec(
        fleet,
        _SIZE,
        rate_per_s=rate_per_s,
        count=round(rate_per_s * _DURATION_S),
        deadline_ms=_DEADLINE_MS,
        whole=True,
        caller=f'offer-{factor}',
        seed=seed,
        history=fleet.rig.directory / f'offer-{factor}.history',
    )
    if factor == 1:
        warm_up(fleet, load)
    return measure_load(fleet, load)


def _false_refusals(
    fleet: Fleet,
    pages: Iterable[dict[str, Any]],
) -> Iterator[str]:
    """Find requests that were refused as not run, but were started."""
    sources: list[Iterable[Event]] = [server_events(page) for page in pages]
    for path in fleet.rig.directory.glob('offer-*'):
        sources.append(read_history(path).events)
    for violation in check_refusal(merge_events(*sources)):
        yield f'{violation.guarantee.value}: {violation.detail}'


def _dropped_events(pages: Iterable[dict[str, Any]]) -> Iterator[str]:
    for page in pages:
        if page['dropped']:
            yield f'not checked: {page["name"]} dropped {page["dropped"]}'


def _build_arms(measured: list[LoadResult]) -> tuple[Arm, ...]:
    baseline_per_s = measured[0].tally.per_second('complete')
    return tuple(
        _build_arm(factor, result, baseline_per_s)
        for factor, result in zip(_FACTORS, measured, strict=True)
    )


def _build_arm(factor: int, measured: LoadResult, baseline_per_s: float) -> Arm:
    tally = measured.tally
    goodput = tally.per_second('complete')
    return Arm(
        name=f'{factor}x',
        metrics={
            **collect_latency_metrics(tally),
            **collect_outcome_metrics(measured),
            'goodput_per_s': goodput,
            'goodput_of_1x': goodput / max(baseline_per_s, 1),
            'refusal_p99_ms': refusal_p99_ms(tally),
            'not_run': tally.counts['not_run'],
            'sheds_per_sub_query': measured.sheds_per_sub_query,
            'extra_load': measured.extra_load,
        },
    )
