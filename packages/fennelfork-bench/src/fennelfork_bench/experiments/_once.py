"""Experiment `once`: a ticket against a claim in the platform.

All arms send the same requests to the same daemons. The arm `claim` first
writes a claim of each request id by compare-and-swap, the arm `mix` one of
ten. The platform answers in milliseconds, is then away, then very slow.
"""

import random
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import attrs
import eventlet

from fennelfork_bench.experiments._fleet import (
    FrontSize,
    log_pages,
    start_front,
)
from fennelfork_bench.experiments._once_claim import Claims
from fennelfork_bench.experiments._once_cost import memory_costs
from fennelfork_bench.experiments._once_load import OnceLoad, OnceTally, Phase
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig
from fennelfork_bench.rig._report import Arm, Report, percentile

_SIZE: Final = FrontSize(shards=1)
_ARMS: Final = (('ticket', 0), ('mix', 0.1), ('claim', 1))
_ROUNDS: Final = 2
_RATE_PER_S: Final = 50
_CALM_COUNT: Final = 500
_TROUBLE_COUNT: Final = 100
_ANSWER_MS: Final = 3
_VERY_SLOW_MS: Final = 1500
_MS: Final = 1000
_MEDIAN: Final = 0.5
_P99: Final = 0.99


@attrs.define(kw_only=True)
class _Measured:
    """What one arm came to over its rounds."""

    calm: list[OnceTally] = attrs.field(factory=list)
    away: list[OnceTally] = attrs.field(factory=list)
    slow: list[OnceTally] = attrs.field(factory=list)
    writes: int = 0

    @property
    def refused(self) -> set[str]:
        """All ids that were refused as not run."""
        tallies = (*self.calm, *self.away, *self.slow)
        return set().union(*(tally.refused for tally in tallies))


def run(seed: int) -> Report:
    """Run every arm in turn, in two rounds, on one fleet."""
    measured = {name: _Measured() for name, _ in _ARMS}
    with rig() as own:
        fleet = start_front(own, _SIZE, seed)
        for turn in range(_ROUNDS):
            _turn(fleet, measured, f'{seed}/{turn}')
        started = _started(fleet)
    return Report(
        experiment='once',
        seed=seed,
        arms=(
            *(_arm(name, arm) for name, arm in measured.items()),
            Arm(name='memory', metrics=memory_costs(seed)),
        ),
        failures=tuple(_broken(started, measured)),
    )


def _turn(fleet: Fleet, measured: dict[str, _Measured], seed: str) -> None:
    for name, share in _ARMS:
        load = _load(fleet, share, f'{seed}/{name}')
        _round(fleet, measured[name], load)


def _load(fleet: Fleet, share: float, seed: str) -> OnceLoad:
    return OnceLoad(
        addresses=fleet.callers,
        claims=Claims(address=fleet.platform.key_value_address),
        claim_share=share,
        rng=random.Random(seed),
    )


def _round(fleet: Fleet, arm: _Measured, load: OnceLoad) -> None:
    platform = fleet.platform
    calm = Phase(
        count=_CALM_COUNT,
        rate_per_s=_RATE_PER_S,
        keys=_SIZE.keys,
    )
    trouble = attrs.evolve(calm, count=_TROUBLE_COUNT)
    platform.switch(slow_ms=_ANSWER_MS)
    before = _writes(fleet)
    arm.calm.append(load.run(calm))
    arm.writes += _writes(fleet) - before
    platform.switch(down=True)
    arm.away.append(load.run(trouble))
    platform.switch(down=False, slow_ms=_VERY_SLOW_MS)
    arm.slow.append(load.run(trouble))
    platform.switch(slow_ms=_ANSWER_MS)
    # Claims given up by the caller still take effect; not in the next arm.
    eventlet.sleep(2 * _VERY_SLOW_MS / _MS)


def _writes(fleet: Fleet) -> int:
    counts: dict[str, int] = fleet.platform.log()['counts']
    return counts.get('kv/txn', 0) + counts.get('kv/put', 0)


def _started(fleet: Fleet) -> Counter[str]:
    return Counter(
        event['request_id']
        for page in log_pages(fleet)
        for event in page['events']
        if event['call'] == 'execute' and event['kind'] == 'started'
    )


def _arm(name: str, measured: _Measured) -> Arm:
    latencies = [
        latency for tally in measured.calm for latency in tally.latencies_ms
    ]
    requests = sum(tally.total for tally in measured.calm)
    return Arm(
        name=name,
        metrics={
            'requests': requests,
            'p50_ms': percentile(latencies, _MEDIAN),
            'p99_ms': percentile(latencies, _P99),
            'writes_per_request': measured.writes / requests,
            **_shares('calm', measured.calm),
            **_shares('away', measured.away),
            **_shares('slow', measured.slow),
        },
    )


def _shares(phase: str, tallies: list[OnceTally]) -> dict[str, Any]:
    return {
        f'{phase}_{end}': sum(tally.share(end) for tally in tallies)
        / len(tallies)
        for end in ('refused', 'in_doubt')
    }


def _broken(
    started: Counter[str],
    measured: dict[str, _Measured],
) -> Iterator[str]:
    for request_id, runs in started.items():
        if runs > 1:
            yield f'{request_id} ran {runs} times'
    refused = set().union(*(arm.refused for arm in measured.values()))
    for lie in refused & started.keys():
        yield f'{lie} was refused as not run, and ran'
