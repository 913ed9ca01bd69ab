"""What a daemon spends: processor time, memory, bytes of control."""

import statistics
import time
from collections.abc import Sequence
from typing import Any, Final

import attrs
from prometheus_client.parser import text_string_to_metric_families

from fennelfork import system_clock
from fennelfork_bench.rig._http import get_text
from fennelfork_bench.rig._process import Process
from fennelfork_bench.rig._usage import Usage, core_percent, usage

_CLOCK: Final = system_clock()
_CONTROL_BYTES: Final = 'fennelfork_control_bytes_total'
_MS_PER_S: Final = 1000
_BYTES_PER_KB: Final = 1000


@attrs.frozen(kw_only=True)
class Reading:
    """One reading of one daemon."""

    at_ms: float
    used: Usage
    control_bytes: float


@attrs.frozen(kw_only=True)
class Cost:
    """What one daemon spent over a time.

    Attributes:
        core_percent: of one core.
        resident_mb: at the end.
        kb_per_s: control sent and received, as the daemon counts it.
    """

    core_percent: float
    resident_mb: float
    kb_per_s: float


def read_costs(daemons: Sequence[Process]) -> list[Reading]:
    """Read every daemon once."""
    return [_reading(each) for each in daemons]


def costs_over(daemons: Sequence[Process], seconds: float) -> list[Cost]:
    """Measure every daemon over a time in which nothing else is done."""
    before = read_costs(daemons)
    time.sleep(seconds)
    return costs_between(before, read_costs(daemons))


def costs_between(
    before: Sequence[Reading],
    after: Sequence[Reading],
) -> list[Cost]:
    """Work out the costs between two readings of the same daemons."""
    return list(map(_cost, before, after))


def cost_metrics(costs: Sequence[Cost]) -> dict[str, float]:
    """Give the mean, the median and the highest of each cost.

    Only two daemons a data centre watch the platform, so in a large fleet
    the median is a plain member and the highest a watcher.
    """
    metrics: dict[str, float] = {}
    for name in ('core_percent', 'resident_mb', 'kb_per_s'):
        found = [getattr(cost, name) for cost in costs]
        metrics[f'{name}_mean'] = statistics.fmean(found)
        metrics[f'{name}_p50'] = statistics.median(found)
        metrics[f'{name}_max'] = max(found)
    return metrics


def sum_of_metric(text: str, name: str) -> float:
    """Add up all series of one metric in a page of metrics."""
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in _samples_named(family, name)
    )


def _samples_named(family: Any, name: str) -> list[Any]:
    return [sample for sample in family.samples if sample.name == name]


def _reading(process: Process) -> Reading:
    text = get_text(process.ready['operator'], '/metrics')
    return Reading(
        at_ms=_CLOCK.now_ms(),
        used=usage(process.pid),
        control_bytes=sum_of_metric(text, _CONTROL_BYTES),
    )


def _cost(before: Reading, after: Reading) -> Cost:
    elapsed_ms = after.at_ms - before.at_ms
    grown_kb = (after.control_bytes - before.control_bytes) / _BYTES_PER_KB
    return Cost(
        core_percent=core_percent(before.used, after.used, elapsed_ms),
        resident_mb=after.used.resident_mb,
        kb_per_s=grown_kb * _MS_PER_S / elapsed_ms,
    )
