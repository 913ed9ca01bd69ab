"""Faults of the index: new snapshots and moved shard boundaries."""

import functools
import time
from typing import Final

import attrs

from fennelfork_bench.soak._fault import Clear, Fault, inject
from fennelfork_bench.soak._round_context import RoundContext
from fennelfork_bench.soak._servers import send_control_command

_PAUSE_BETWEEN_SERVERS_S: Final = 0.05


@attrs.frozen(kw_only=True)
class NextSnapshot(Fault):
    """Load a new snapshot server by server, then drop the old ones."""


@attrs.frozen(kw_only=True)
class Repartition(Fault):
    """Move the boundary between two shards with the next snapshot."""


@inject.register
def _inject_next_snapshot(fault: NextSnapshot, context: RoundContext) -> Clear:
    version = max(context.snapshots) + 1
    _load_snapshot(context, version, keep=tuple(context.snapshots))
    return functools.partial(_load_snapshot, context, version, keep=())


@inject.register
def _inject_repartition(fault: Repartition, context: RoundContext) -> Clear:
    first, second = context.front.shards[:2]
    low = context.layout[first.servers[0].name][0]
    high = context.layout[second.servers[0].name][1]
    boundary = context.randomness.randrange(low + 1, high)
    context.layout |= {each.name: (low, boundary) for each in first.servers}
    context.layout |= {each.name: (boundary, high) for each in second.servers}
    version = max(context.snapshots) + 1
    _load_snapshot(context, version, keep=tuple(context.snapshots))
    return functools.partial(_load_snapshot, context, version, keep=())


def _load_snapshot(
    context: RoundContext, version: int, keep: tuple[int, ...]
) -> None:
    context.snapshots.add(version)
    servers = list(context.fleet.backends.values())
    context.randomness.shuffle(servers)
    for server in servers:
        if server.alive:
            lo, hi = context.layout[server.name]
            body = {'version': version, 'ranges': [[lo, hi]], 'keep': keep}
            send_control_command(server, 'snapshot', body)
            time.sleep(_PAUSE_BETWEEN_SERVERS_S)
