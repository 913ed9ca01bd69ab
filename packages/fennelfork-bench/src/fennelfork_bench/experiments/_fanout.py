"""Experiment `fanout`: processor time of a sub-query at several fan-outs."""

import itertools
from typing import Final

import attrs
import numpy as np

from fennelfork_bench.experiments._fanout_server import measure_batch_arms
from fennelfork_bench.experiments._fleet import FrontSize, start_front_fleet
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
)
from fennelfork_bench.experiments._processor_time import measure_idle_us_per_s
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report

_FAN_OUTS: Final = (8, 30, 88)
_SUB_QUERIES_PER_S: Final = 600
_DURATION_S: Final = 10
_IDLE_S: Final = 5
_DEADLINE_MS: Final = 5000
_MODES: Final = ('home', 'direct')


def run(seed: int) -> Report:
    """Run each fan-out in both routing modes at an equal sub-query rate."""
    measurements: dict[str, list[LoadResult]] = {mode: [] for mode in _MODES}
    arms = []
    for fan_out in _FAN_OUTS:
        for mode, measured in measurements.items():
            measured.append(_measure(fan_out, mode, seed))
            arms.append(_build_arm(f'{mode}@{fan_out}', measured[-1]))
    with rig() as own:
        batches = measure_batch_arms(own)
    return Report(
        experiment='fanout',
        seed=seed,
        arms=(
            *arms,
            *itertools.starmap(_slope_arm, measurements.items()),
            *batches,
        ),
        failures=collect_violations(
            itertools.chain.from_iterable(measurements.values())
        ),
    )


def _measure(fan_out: int, mode: str, seed: int) -> LoadResult:
    size = FrontSize(shards=fan_out, servers=1)
    rate_per_s = _SUB_QUERIES_PER_S / fan_out
    with rig() as own:
        fleet = start_front_fleet(own, size, seed, {'routing': {'mode': mode}})
        load = front_load_spec(
            fleet,
            size,
            rate_per_s=rate_per_s,
            count=round(rate_per_s * _DURATION_S),
            deadline_ms=_DEADLINE_MS,
            seed=seed,
        )
        warm_up(fleet, load)
        idle = measure_idle_us_per_s(fleet.running_daemons, _IDLE_S)
        return attrs.evolve(measure_load(fleet, load), idle_us_per_s=idle)


def _build_arm(name: str, measured: LoadResult) -> Arm:
    return Arm(
        name=name,
        metrics={
            **collect_latency_metrics(measured.tally),
            **collect_outcome_metrics(measured),
            'daemon_us_per_query': _us_per_query(measured),
            'daemon_us_per_sub_query': measured.busy_us / measured.required,
            'idle_us_per_s': measured.idle_us_per_s,
            'server_us_per_sub_query': measured.server_us / measured.required,
        },
    )


def _slope_arm(name: str, measurements: list[LoadResult]) -> Arm:
    """Fit the processor time of a query as a linear function of the fan-out."""
    costs = [_us_per_query(measurement) for measurement in measurements]
    slope, intercept = np.polyfit(_FAN_OUTS, costs, 1)
    return Arm(
        name=f'{name} slope',
        metrics={
            'fixed_us_per_query': float(intercept),
            'slope_us_per_sub_query': float(slope),
        },
    )


def _us_per_query(measured: LoadResult) -> float:
    return measured.busy_us / measured.tally.counts['offered']
