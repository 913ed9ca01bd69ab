"""Experiment `once`: tickets compared with claims in the key-value service.

All arms send the same load to the same daemons. The arm `claim` first writes
a claim of each request id by compare-and-swap, the arm `mix` for one request
in ten. The key-value service is first fast, then unavailable, then very slow.
"""

import random
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import attrs
import eventlet

from fennelfork_bench.experiments._fleet import (
    FrontSize,
    read_server_logs,
    start_front_fleet,
)
from fennelfork_bench.experiments._once_claim import Claims
from fennelfork_bench.experiments._once_cost import measure_memory_costs
from fennelfork_bench.experiments._once_load import (
    LoadPhase,
    OnceLoad,
    OnceTally,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report, percentile

_SIZE: Final = FrontSize(shards=1)
_ARMS: Final = (('ticket', 0), ('mix', 0.1), ('claim', 1))
_ROUNDS: Final = 2
_RATE_PER_S: Final = 50
_NORMAL_COUNT: Final = 500
_FAULT_COUNT: Final = 100
_RESPONSE_MS: Final = 3
_VERY_SLOW_MS: Final = 1500
_MS_PER_S: Final = 1000
_MEDIAN: Final = 0.5
_P99: Final = 0.99


@attrs.define(kw_only=True)
class _ArmResult:
    """Tallies of one arm over all rounds."""

    normal: list[OnceTally] = attrs.field(factory=list)
    unavailable: list[OnceTally] = attrs.field(factory=list)
    slow: list[OnceTally] = attrs.field(factory=list)
    writes: int = 0

    @property
    def refused(self) -> set[str]:
        """Ids of the requests refused with the verdict `not_run`."""
        tallies = (*self.normal, *self.unavailable, *self.slow)
        return set().union(*(tally.refused for tally in tallies))


def run(seed: int) -> Report:
    """Run all arms in turn, in two rounds, on one fleet."""
    measured = {name: _ArmResult() for name, _ in _ARMS}
    with rig() as own:
        fleet = start_front_fleet(own, _SIZE, seed)
        for turn in range(_ROUNDS):
            _run_turn(fleet, measured, f'{seed}/{turn}')
        started = _count_started(fleet)
    return Report(
        experiment='once',
        seed=seed,
        arms=(
            *(_build_arm(name, arm) for name, arm in measured.items()),
            Arm(name='memory', metrics=measure_memory_costs(seed)),
        ),
        failures=tuple(_failures(started, measured)),
    )


def _run_turn(fleet: Fleet, measured: dict[str, _ArmResult], seed: str) -> None:
    for name, share in _ARMS:
        load = _arm_load(fleet, share, f'{seed}/{name}')
        _run_round(fleet, measured[name], load)


def _arm_load(fleet: Fleet, share: float, seed: str) -> OnceLoad:
    return OnceLoad(
        addresses=fleet.callers,
        claims=Claims(address=fleet.platform.key_value_address),
        claim_share=share,
        rng=random.Random(seed),
    )


def _run_round(fleet: Fleet, arm: _ArmResult, load: OnceLoad) -> None:
    platform = fleet.platform
    normal = LoadPhase(
        count=_NORMAL_COUNT,
        rate_per_s=_RATE_PER_S,
        keys=_SIZE.keys,
    )
    faulty = attrs.evolve(normal, count=_FAULT_COUNT)
    platform.set_faults(slow_ms=_RESPONSE_MS)
    writes_before = _count_writes(fleet)
    arm.normal.append(load.run(normal))
    arm.writes += _count_writes(fleet) - writes_before
    platform.set_faults(down=True)
    arm.unavailable.append(load.run(faulty))
    platform.set_faults(down=False, slow_ms=_VERY_SLOW_MS)
    arm.slow.append(load.run(faulty))
    platform.set_faults(slow_ms=_RESPONSE_MS)
    # Claims that timed out still take effect; wait for them before the next
    # arm.
    eventlet.sleep(2 * _VERY_SLOW_MS / _MS_PER_S)


def _count_writes(fleet: Fleet) -> int:
    counts: dict[str, int] = fleet.platform.log()['counts']
    return counts.get('kv/txn', 0) + counts.get('kv/put', 0)


def _count_started(fleet: Fleet) -> Counter[str]:
    return Counter(
        event['request_id']
        for page in read_server_logs(fleet)
        for event in page['events']
        if event['call'] == 'execute' and event['kind'] == 'started'
    )


def _build_arm(name: str, measured: _ArmResult) -> Arm:
    latencies = [
        latency for tally in measured.normal for latency in tally.latencies_ms
    ]
    requests = sum(tally.total for tally in measured.normal)
    return Arm(
        name=name,
        metrics={
            'requests': requests,
            'p50_ms': percentile(latencies, _MEDIAN),
            'p99_ms': percentile(latencies, _P99),
            'writes_per_request': measured.writes / requests,
            **_shares('calm', measured.normal),
            **_shares('away', measured.unavailable),
            **_shares('slow', measured.slow),
        },
    )


def _shares(phase: str, tallies: list[OnceTally]) -> dict[str, Any]:
    return {
        f'{phase}_{outcome}': sum(
            tally.outcome_fraction(outcome) for tally in tallies
        )
        / len(tallies)
        for outcome in ('refused', 'in_doubt')
    }


def _failures(
    started: Counter[str],
    measured: dict[str, _ArmResult],
) -> Iterator[str]:
    for request_id, runs in started.items():
        if runs > 1:
            yield f'request {request_id} ran {runs} times'
    refused = set().union(*(arm.refused for arm in measured.values()))
    for refused_id in refused & started.keys():
        yield f'request {refused_id} was refused as not run, but ran'
