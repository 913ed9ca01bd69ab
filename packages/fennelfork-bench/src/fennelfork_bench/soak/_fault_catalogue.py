"""Catalogue of the faults of the soak test, and its fleet."""

import random
from typing import Final

import attrs

from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    daemon_specs,
    shard_spec,
)
from fennelfork_bench.soak._fault import Fault
from fennelfork_bench.soak._fault_daemons import (
    KillDaemon,
    PauseDaemon,
    StopDaemon,
)
from fennelfork_bench.soak._fault_index import NextSnapshot, Repartition
from fennelfork_bench.soak._fault_platform import (
    PlatformFault,
    VmListDown,
)
from fennelfork_bench.soak._fault_servers import (
    DrainServer,
    FreezeServer,
    KillServer,
    SilenceConnections,
    SpoilReplies,
)

_KEYS: Final = 120
_STRAGGLER_SHARE: Final = 0.02
_VM_LIST_LAG_MS: Final = 300
_REPLY_FAULT_KINDS: Final = (
    'late',
    'lose_reply',
    'cross',
    'truncate',
    'double',
    'cut',
    'mute',
    'straggle',
)
_CATALOGUE: Final[tuple[Fault, ...]] = (
    KillDaemon(),
    PauseDaemon(hold_s=2),
    StopDaemon(hold_s=0),
    KillServer(),
    FreezeServer(),
    SilenceConnections(),
    DrainServer(hold_s=4),
    DrainServer(hold_s=4, lies=True),
    NextSnapshot(),
    Repartition(),
    VmListDown(hold_s=2),
    PlatformFault(hold_s=3, switches={'down': True}),
    PlatformFault(hold_s=3, switches={'slow_ms': 700}),
    PlatformFault(hold_s=3, switches={'refuse': True}),
    PlatformFault(hold_s=3, switches={'lose_replies': 3}),
    PlatformFault(hold_s=3, switches={'stall_watches': True}),
    *(SpoilReplies(kind=kind) for kind in _REPLY_FAULT_KINDS),
)


def draw_fault_pair(randomness: random.Random) -> tuple[Fault, Fault]:
    """Return two random faults, which may be equal."""
    return randomness.choice(_CATALOGUE), randomness.choice(_CATALOGUE)


def small_fleet(seed: int) -> FleetSpec:
    """Build the spec of two shards with two replicas, and three daemons.

    Args:
        seed: seed of the service times of the backend servers.
    """
    half = _KEYS // 2
    low = BackendSpec(
        name='',
        lo=0,
        hi=half,
        keys=_KEYS,
        straggle=_STRAGGLER_SHARE,
        seed=seed,
    )
    high = attrs.evolve(low, lo=half, hi=_KEYS, seed=seed + _KEYS)
    shards = (shard_spec('low', 2, low), shard_spec('high', 2, high))
    front = FrontSpec(
        name='raft-search',
        keys=_KEYS,
        shards=shards,
        hedge={'policy': 'quantile', 'delay_ms': 30, 'budget': 0.05},
    )
    daemons = daemon_specs(3)
    return FleetSpec(fronts=(front,), daemons=daemons, lag_ms=_VM_LIST_LAG_MS)
