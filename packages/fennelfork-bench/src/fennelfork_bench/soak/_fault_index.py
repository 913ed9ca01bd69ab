"""Changes of the index under running queries."""

import functools
import time
from typing import Final

import attrs

from fennelfork_bench.soak._fault import End, Fault, begin
from fennelfork_bench.soak._servers import order
from fennelfork_bench.soak._trial import Trial

_STAGGER_S: Final = 0.05


@attrs.frozen(kw_only=True)
class NextSnapshot(Fault):
    """Servers take up a new snapshot one by one, then drop the old."""


@attrs.frozen(kw_only=True)
class Repartition(Fault):
    """Records move between two shards with the next snapshot."""


@begin.register
def _next_snapshot(fault: NextSnapshot, trial: Trial) -> End:
    version = max(trial.snapshots) + 1
    _publish(trial, version, keep=tuple(trial.snapshots))
    return functools.partial(_publish, trial, version, keep=())


@begin.register
def _repartition(fault: Repartition, trial: Trial) -> End:
    first, second = trial.front.shards[:2]
    low = trial.layout[first.servers[0].name][0]
    high = trial.layout[second.servers[0].name][1]
    border = trial.randomness.randrange(low + 1, high)
    trial.layout |= {each.name: (low, border) for each in first.servers}
    trial.layout |= {each.name: (border, high) for each in second.servers}
    version = max(trial.snapshots) + 1
    _publish(trial, version, keep=tuple(trial.snapshots))
    return functools.partial(_publish, trial, version, keep=())


def _publish(trial: Trial, version: int, keep: tuple[int, ...]) -> None:
    trial.snapshots.add(version)
    servers = list(trial.fleet.backends.values())
    trial.randomness.shuffle(servers)
    for server in servers:
        if server.alive:
            lo, hi = trial.layout[server.name]
            body = {'version': version, 'ranges': [[lo, hi]], 'keep': keep}
            order(server, 'snapshot', body)
            time.sleep(_STAGGER_S)
