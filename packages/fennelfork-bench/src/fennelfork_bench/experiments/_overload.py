"""Experiment `overload`: goodput and refusals under a stampede."""

from collections.abc import Iterable, Iterator
from typing import Any, Final

from fennelfork_bench.backend_server._history import server_events
from fennelfork_bench.checks._refusal import check_refusal
from fennelfork_bench.experiments._fleet import (
    FrontSize,
    log_pages,
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
    latency_metrics,
    outcome_metrics,
    refusal_p99_ms,
)
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import gather, read_history
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_STRAGGLE: Final = 0.01
# Fifty times the brief's service time, so that one machine can offer ten
# times what the slots take.
_MEAN_MS: Final = 300
_SIZE: Final = FrontSize(shards=4, mean_ms=_MEAN_MS, straggle=_STRAGGLE)
_SPAN_S: Final = 15
_DEADLINE_MS: Final = 3000
_FACTORS: Final = (1, 3, 10)


def run(seed: int) -> Report:
    """Offer 1, 3 and 10 times what the slots take, one after the other."""
    with rig() as own:
        fleet = start_front(own, _SIZE, seed)
        measured = [_measure(fleet, factor, seed) for factor in _FACTORS]
        pages = list(log_pages(fleet))
        untrue = _untrue_refusals(fleet, pages)
    return Report(
        experiment='overload',
        seed=seed,
        arms=_arms(measured),
        failures=(
            *violations(measured),
            *untrue,
            *_dropped(pages),
        ),
    )


def _measure(fleet: Fleet, factor: int, seed: int) -> Measured:
    rate_per_s = _SIZE.capacity * factor
    load = front_load(
        fleet,
        _SIZE,
        rate_per_s=rate_per_s,
        count=round(rate_per_s * _SPAN_S),
        deadline_ms=_DEADLINE_MS,
        whole=True,
        caller=f'offer-{factor}',
        seed=seed,
        history=fleet.rig.directory / f'offer-{factor}.history',
    )
    if factor == 1:
        warm_up(fleet, load)
    return measure(fleet, load)


def _untrue_refusals(
    fleet: Fleet,
    pages: Iterable[dict[str, Any]],
) -> Iterator[str]:
    """Find refusals as not run whose request a server started."""
    sources: list[Iterable[Event]] = [server_events(page) for page in pages]
    for path in fleet.rig.directory.glob('offer-*'):
        sources.append(read_history(path).events)
    for found in check_refusal(gather(*sources)):
        yield f'{found.promise.value}: {found.detail}'


def _dropped(pages: Iterable[dict[str, Any]]) -> Iterator[str]:
    for page in pages:
        if page['dropped']:
            yield f'not checked: {page["name"]} dropped {page["dropped"]}'


def _arms(measured: list[Measured]) -> tuple[Arm, ...]:
    base = measured[0].tally.per_second('complete')
    return tuple(
        _arm(factor, one, base)
        for factor, one in zip(_FACTORS, measured, strict=True)
    )


def _arm(factor: int, measured: Measured, base: float) -> Arm:
    tally = measured.tally
    goodput = tally.per_second('complete')
    return Arm(
        name=f'{factor}x',
        metrics={
            **latency_metrics(tally),
            **outcome_metrics(measured),
            'goodput_per_s': goodput,
            'goodput_of_1x': goodput / max(base, 1),
            'refusal_p99_ms': refusal_p99_ms(tally),
            'not_run': tally.counts['not_run'],
            'sheds_per_sub_query': measured.sheds,
            'extra_load': measured.extra_load,
        },
    )
