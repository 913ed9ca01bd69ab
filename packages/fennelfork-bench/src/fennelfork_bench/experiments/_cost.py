"""Costs of a daemon: processor time, memory and control traffic."""

import statistics
import time
from collections.abc import Sequence
from typing import Any, Final

import attrs
from prometheus_client.parser import text_string_to_metric_families

from fennelfork import system_clock
from fennelfork_bench.rig._http import get_text
from fennelfork_bench.rig._process import Process
from fennelfork_bench.rig._usage import Usage, core_percent, read_usage

_CLOCK: Final = system_clock()
_CONTROL_BYTES: Final = 'fennelfork_control_bytes_total'
_MS_PER_S: Final = 1000
_BYTES_PER_KB: Final = 1000


@attrs.frozen(kw_only=True)
class CostReading:
    """Resource usage of a daemon at one time."""

    at_ms: float
    used: Usage
    control_bytes: float


@attrs.frozen(kw_only=True)
class Cost:
    """Resources that one daemon used during an interval.

    Attributes:
        core_percent: processor time as a percentage of one core.
        resident_mb: resident memory at the end of the interval.
        kb_per_s: control traffic sent and received, from the daemon's metrics.
    """

    core_percent: float
    resident_mb: float
    kb_per_s: float


def read_costs(daemons: Sequence[Process]) -> list[CostReading]:
    """Read the resource usage of every daemon."""
    return [_read_cost(each) for each in daemons]


def measure_costs(daemons: Sequence[Process], seconds: float) -> list[Cost]:
    """Measure the costs of every daemon while the experiment sleeps."""
    before = read_costs(daemons)
    time.sleep(seconds)
    return compute_costs(before, read_costs(daemons))


def compute_costs(
    before: Sequence[CostReading],
    after: Sequence[CostReading],
) -> list[Cost]:
    """Compute the costs between two readings of the same daemons."""
    return list(map(_cost_between, before, after))


def collect_cost_metrics(costs: Sequence[Cost]) -> dict[str, float]:
    """Return the mean, the median and the maximum of each cost.

    Only two daemons of a data centre watch the platform, so in a large fleet
    the median describes a plain member and the maximum a watcher.
    """
    metrics: dict[str, float] = {}
    for name in ('core_percent', 'resident_mb', 'kb_per_s'):
        observed = [getattr(cost, name) for cost in costs]
        metrics[f'{name}_mean'] = statistics.fmean(observed)
        metrics[f'{name}_p50'] = statistics.median(observed)
        metrics[f'{name}_max'] = max(observed)
    return metrics


def sum_metric(text: str, name: str) -> float:
    """Return the sum of all series of one metric in a metrics page."""
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in _samples_named(family, name)
    )


def _samples_named(family: Any, name: str) -> list[Any]:
    return [sample for sample in family.samples if sample.name == name]


def _read_cost(process: Process) -> CostReading:
    text = get_text(process.ready['operator'], '/metrics')
    return CostReading(
        at_ms=_CLOCK.now_ms(),
        used=read_usage(process.pid),
        control_bytes=sum_metric(text, _CONTROL_BYTES),
    )


def _cost_between(before: CostReading, after: CostReading) -> Cost:
    elapsed_ms = after.at_ms - before.at_ms
    control_kb = (after.control_bytes - before.control_bytes) / _BYTES_PER_KB
    return Cost(
        core_percent=core_percent(before.used, after.used, elapsed_ms),
        resident_mb=after.used.resident_mb,
        kb_per_s=control_kb * _MS_PER_S / elapsed_ms,
    )
