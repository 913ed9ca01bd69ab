"""Load on a fleet, measured by tally, server counts and processor time."""

import itertools
import os
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs

from fennelfork_bench.callers._group import await_callers, start_callers
from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.callers._tally import Tally, merge_sequential
from fennelfork_bench.experiments._fleet import FrontSize, sum_server_counts
from fennelfork_bench.experiments._processor_time import read_processor_us
from fennelfork_bench.rig._fleet import Fleet

_CALLER_LINK_MS: Final = 3
_WARM_UP_S: Final = 3
_MS_PER_S: Final = 1000


@attrs.frozen(kw_only=True)
class LoadResult:
    """Result of a load.

    Attributes:
        required: sub-queries that the offered queries need without hedges.
        tally: tally of the answers to the callers.
        counts: increase of the counters of the backend servers.
        daemon_us: processor time of all daemons.
        server_us: processor time of all backend servers.
        load_average: one-minute load average of the machine at the end.
        idle_us_per_s: processor time of all daemons per second without load.
    """

    required: int
    tally: Tally
    counts: Counter[str]
    daemon_us: float
    server_us: float
    load_average: float
    idle_us_per_s: float = 0

    @property
    def busy_us(self) -> float:
        """Processor time of all daemons in excess of their idle usage."""
        duration_s = self.tally.span_ms / _MS_PER_S
        return self.daemon_us - self.idle_us_per_s * duration_s

    @property
    def extra_load(self) -> float:
        """Extra attempts as a share of the required sub-queries."""
        return self.counts['started'] / self.required - 1

    @property
    def sheds_per_sub_query(self) -> float:
        """Requests shed by backend servers per required sub-query."""
        return self.counts['refused_shed'] / self.required


def front_load_spec(fleet: Fleet, size: FrontSize, **changes: Any) -> LoadSpec:
    """Build a load of queries for one key of each shard of a front."""
    load = LoadSpec(
        entries=','.join(fleet.callers),
        keys=size.keys,
        wanted=size.shards,
        link_ms=_CALLER_LINK_MS,
    )
    return attrs.evolve(load, **changes)


def warm_up(fleet: Fleet, load: LoadSpec) -> None:
    """Open connections and fill histograms with a short load."""
    warm = attrs.evolve(
        load,
        caller=f'warm-{load.caller}',
        count=max(1, round(load.rate_per_s * _WARM_UP_S)),
        history=None,
    )
    await_callers(start_callers(fleet.rig, warm), warm)


def measure_load(
    fleet: Fleet,
    load: LoadSpec,
    on_poll: Callable[[], object] = bool,
) -> LoadResult:
    """Run a load and measure its answers and costs.

    Args:
        fleet: fleet that serves the load.
        load: specification of the load.
        on_poll: function called repeatedly until the callers exit.
    """
    counts = sum_server_counts(fleet)
    daemon_us = read_processor_us(fleet.running_daemons)
    server_us = read_processor_us(fleet.backends.values())
    started = start_callers(fleet.rig, load)
    while any(process.alive for process in started):
        on_poll()
        started[0].wait(1)
    tally = await_callers(started, load)
    return LoadResult(
        required=tally.counts['offered'] * len(fleet.spec.fronts[0].shards),
        tally=tally,
        counts=sum_server_counts(fleet) - counts,
        daemon_us=read_processor_us(fleet.running_daemons) - daemon_us,
        server_us=read_processor_us(fleet.backends.values()) - server_us,
        load_average=os.getloadavg()[0],
    )


def merge_rounds(rounds: Iterable[LoadResult]) -> LoadResult:
    """Merge the results of consecutive rounds of one arm."""
    parts = list(rounds)
    counts: Counter[str] = Counter()
    for each in parts:
        counts.update(each.counts)
    return LoadResult(
        required=sum(part.required for part in parts),
        tally=merge_sequential(part.tally for part in parts),
        counts=counts,
        daemon_us=sum(part.daemon_us for part in parts),
        server_us=sum(part.server_us for part in parts),
        load_average=max(part.load_average for part in parts),
    )


def collect_violations(measured: Iterable[LoadResult]) -> tuple[str, ...]:
    """Return all violations of guarantees that callers detected."""
    violations = (result.tally.violations for result in measured)
    return tuple(itertools.chain.from_iterable(violations))
