"""Small fleet shared by the experiments on the control plane."""

from typing import Any, Final

from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    daemon_specs,
    shard_spec,
)

FRONT: Final = 'certificate-registry'
KEYS: Final = 300
DEFAULT_DAEMONS: Final = 9
SIZES: Final = (DEFAULT_DAEMONS, 30, 60)
_SERVERS: Final = 3
_ENTRY_TTL_MS: Final = 2000


def small_fleet(
    daemons: int,
    seed: int,
    entry_ttl_ms: int = _ENTRY_TTL_MS,
) -> FleetSpec:
    """Build a fleet in three data centres with one front of one shard.

    Args:
        daemons: number of daemons.
        seed: seed of the service times.
        entry_ttl_ms: time for which callers cache a response on entries.
    """
    server = BackendSpec(name='', lo=0, hi=KEYS, keys=KEYS, seed=seed)
    shard = shard_spec('registry', _SERVERS, server)
    tables = {'timeouts': {'entry_ttl_ms': entry_ttl_ms}}
    return FleetSpec(
        fronts=(FrontSpec(name=FRONT, keys=KEYS, shards=(shard,)),),
        daemons=daemon_specs(daemons, tables=tables),
    )


def build_hedge_patch(delay_ms: int) -> dict[str, Any]:
    """Build a patch that sets the hedge delay of the front."""
    return {'fronts': {FRONT: {'hedge': {'delay_ms': delay_ms}}}}
