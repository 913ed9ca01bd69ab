"""Random choice of target servers, and their fault settings."""

from typing import Any

from fennelfork_bench.rig._process import Process
from fennelfork_bench.soak._round_context import RoundContext
from fennelfork_bench.soak._servers import send_control_command


def set_server_faults(server: Process, **faults: Any) -> None:
    """Replace the fault settings of a server if it is alive."""
    if server.alive:
        send_control_command(server, 'faults', faults)


def draw_server(context: RoundContext) -> Process:
    """Return a random backend server that is alive."""
    servers = context.fleet.backends.values()
    alive_servers = [server for server in servers if server.alive]
    return context.randomness.choice(alive_servers)


def draw_redundant_server(context: RoundContext) -> Process:
    """Return a random server of a shard with other replicas; mark it lost."""
    candidates = []
    for shard in context.front.shards:
        names = {server.name for server in shard.servers} - context.lost
        if len(names) > 1:
            candidates.extend(sorted(names))
    name = context.randomness.choice(candidates)
    context.lost.add(name)
    return context.fleet.backends[name]
