"""Draws the servers that faults strike, and switches their faults."""

from typing import Any

from fennelfork_bench.rig._process import Process
from fennelfork_bench.soak._servers import order
from fennelfork_bench.soak._trial import Trial


def switch(victim: Process, **faults: Any) -> None:
    """Put faults in force on a server, if it still lives."""
    if victim.alive:
        order(victim, 'faults', faults)


def pick(trial: Trial) -> Process:
    """Draw a living server."""
    servers = trial.fleet.backends.values()
    living = [server for server in servers if server.alive]
    return trial.randomness.choice(living)


def pick_spare(trial: Trial) -> Process:
    """Draw a server whose shard can go on without it, and mark it lost."""
    spare = []
    for shard in trial.front.shards:
        names = {server.name for server in shard.servers} - trial.lost
        if len(names) > 1:
            spare.extend(sorted(names))
    name = trial.randomness.choice(spare)
    trial.lost.add(name)
    return trial.fleet.backends[name]
