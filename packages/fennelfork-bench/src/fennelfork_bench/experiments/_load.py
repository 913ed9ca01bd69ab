"""One measured load on a fleet: tally, server counts, processor time."""

import itertools
import os
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs

from fennelfork_bench.callers._group import await_callers, start_callers
from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.callers._tally import Tally, in_turn
from fennelfork_bench.experiments._fleet import FrontSize, server_counts
from fennelfork_bench.experiments._processor import processor_us
from fennelfork_bench.rig._fleet import Fleet

_CALLER_LINK_MS: Final = 3
_WARM_S: Final = 3
_MS: Final = 1000


@attrs.frozen(kw_only=True)
class Measured:
    """What a load came to.

    Attributes:
        needed: sub-queries that the offered queries need without hedges.
        tally: what the callers got.
        counts: what the backend servers counted for it.
        daemon_us: processor time of all daemons.
        server_us: processor time of all backend servers.
        load_average: of the whole machine, of the last minute, at the end.
        idle_us_per_s: what all daemons use in a second without queries.
    """

    needed: int
    tally: Tally
    counts: Counter[str]
    daemon_us: float
    server_us: float
    load_average: float
    idle_us_per_s: float = 0

    @property
    def busy_us(self) -> float:
        """Processor time of all daemons above what they use when idle."""
        span_s = self.tally.span_ms / _MS
        return self.daemon_us - self.idle_us_per_s * span_s

    @property
    def extra_load(self) -> float:
        """Runs on backend servers above those needed, as a share."""
        return self.counts['started'] / self.needed - 1

    @property
    def sheds(self) -> float:
        """Refusals by full backend servers for each sub-query needed."""
        return self.counts['refused_shed'] / self.needed


def front_load(fleet: Fleet, size: FrontSize, **changes: Any) -> LoadSpec:
    """Build the load of a front: one key of each shard, 3 ms away."""
    load = LoadSpec(
        entries=','.join(fleet.callers),
        keys=size.keys,
        wanted=size.shards,
        link_ms=_CALLER_LINK_MS,
    )
    return attrs.evolve(load, **changes)


def warm_up(fleet: Fleet, load: LoadSpec) -> None:
    """Open connections and fill histograms with a short load before."""
    warm = attrs.evolve(
        load,
        caller=f'warm-{load.caller}',
        count=max(1, round(load.rate_per_s * _WARM_S)),
        history=None,
    )
    await_callers(start_callers(fleet.rig, warm), warm)


def measure(
    fleet: Fleet,
    load: LoadSpec,
    meanwhile: Callable[[], object] = bool,
) -> Measured:
    """Run a load and measure what it took.

    Args:
        fleet: takes the load.
        load: the load.
        meanwhile: called again and again until the callers have ended.
    """
    counts = server_counts(fleet)
    daemon_us = processor_us(fleet.living)
    server_us = processor_us(fleet.backends.values())
    started = start_callers(fleet.rig, load)
    while any(process.alive for process in started):
        meanwhile()
        started[0].wait(1)
    tally = await_callers(started, load)
    return Measured(
        needed=tally.counts['offered'] * len(fleet.spec.fronts[0].shards),
        tally=tally,
        counts=server_counts(fleet) - counts,
        daemon_us=processor_us(fleet.living) - daemon_us,
        server_us=processor_us(fleet.backends.values()) - server_us,
        load_average=os.getloadavg()[0],
    )


def joined(rounds: Iterable[Measured]) -> Measured:
    """Add rounds of the same arm that ran one after the other."""
    parts = list(rounds)
    counts: Counter[str] = Counter()
    for each in parts:
        counts.update(each.counts)
    return Measured(
        needed=sum(part.needed for part in parts),
        tally=in_turn(part.tally for part in parts),
        counts=counts,
        daemon_us=sum(part.daemon_us for part in parts),
        server_us=sum(part.server_us for part in parts),
        load_average=max(part.load_average for part in parts),
    )


def violations(measured: Iterable[Measured]) -> tuple[str, ...]:
    """Give every broken promise that callers saw."""
    found = (one.tally.violations for one in measured)
    return tuple(itertools.chain.from_iterable(found))
