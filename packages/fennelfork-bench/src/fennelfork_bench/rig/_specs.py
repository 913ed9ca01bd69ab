"""Specifications of fleets."""

from collections.abc import Sequence
from typing import Any, Final

import attrs

_DATA_CENTRES: Final = ('dc-1', 'dc-2', 'dc-3')


@attrs.frozen(kw_only=True)
class BackendSpec:
    """Specification of one backend server stand-in.

    Attributes:
        name: name of the backend server.
        lo: first key of the range of the backend server.
        hi: exclusive end of the range.
        keys: number of keys of the search front.
        data_centre: data centre of the backend server.
        slots: maximum number of requests that run concurrently.
        connections: maximum number of connections.
        connect_ms: time that opening a connection takes.
        mean_ms: mean duration of a search.
        straggle: share of searches that take `straggle_factor` times as long.
        straggle_factor: slowdown of a straggling search.
        link_ms: one-way network latency, added in both directions.
        seed: seed of the random durations.
    """

    name: str
    lo: int
    hi: int
    keys: int
    data_centre: str = 'dc-1'
    slots: int = 5
    connections: int = 40
    connect_ms: float = 6
    mean_ms: float = 6
    straggle: float = 0
    straggle_factor: float = 10
    link_ms: float = 0
    seed: int = 1


@attrs.frozen(kw_only=True)
class ShardSpec:
    """Shard with the backend servers of its replicas."""

    name: str
    servers: tuple[BackendSpec, ...]


@attrs.frozen(kw_only=True)
class FrontSpec:
    """Configuration of one search front of a test fleet.

    Attributes:
        name: name of the search front.
        keys: exclusive upper bound of the key space, which starts at 0.
        shards: shards of the search front.
        hedge: `hedge` table of the configuration of the search front.
    """

    name: str
    keys: int
    shards: tuple[ShardSpec, ...]
    hedge: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class DaemonSpec:
    """Specification of a daemon; `tables` overrides its settings."""

    name: str
    region: str
    data_centre: str
    tables: dict[str, dict[str, Any]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class FleetSpec:
    """Specification of a fleet and of its platform stand-ins.

    Attributes:
        fronts: search fronts of the initial configuration.
        daemons: daemons of the fleet.
        lag_ms: delay until a change appears in the VM list.
        reads_per_s: read rate limit of the key-value service; 0 means no
            limit.
        writes_per_s: write rate limit of the key-value service; 0 means no
            limit.
    """

    fronts: tuple[FrontSpec, ...]
    daemons: tuple[DaemonSpec, ...]
    lag_ms: float = 0
    reads_per_s: float = 0
    writes_per_s: float = 0


def shard_spec(
    name: str,
    servers: int,
    template: BackendSpec,
    data_centres: Sequence[str] = _DATA_CENTRES,
) -> ShardSpec:
    """Build a shard of equal servers, distributed over the data centres.

    Args:
        name: name of the shard; backend servers are `<shard>-<index>`.
        servers: number of backend servers.
        template: spec that the backend servers have in common.
        data_centres: data centres, assigned round-robin.
    """
    return ShardSpec(
        name=name,
        servers=tuple(
            attrs.evolve(
                template,
                name=f'{name}-{index}',
                data_centre=data_centres[index % len(data_centres)],
                seed=template.seed + index,
            )
            for index in range(servers)
        ),
    )


def daemon_specs(
    count: int,
    data_centres: Sequence[str] = _DATA_CENTRES,
    tables: dict[str, dict[str, Any]] | None = None,
) -> tuple[DaemonSpec, ...]:
    """Build daemons that are distributed over the data centres.

    Args:
        count: number of daemons, which are named from `vm-1` on.
        data_centres: data centres, assigned round-robin; each is a region.
        tables: settings that all daemons share.
    """
    return tuple(
        DaemonSpec(
            name=f'vm-{index + 1}',
            region=f'region-{index % len(data_centres) + 1}',
            data_centre=data_centres[index % len(data_centres)],
            tables=tables or {},
        )
        for index in range(count)
    )


def build_front_patch(
    fronts: Sequence[FrontSpec], addresses: dict[str, str]
) -> Any:
    """Build the configuration patch that creates fronts.

    Args:
        fronts: search fronts to create.
        addresses: `ip:port` by the name of the backend server.
    """
    return {
        'fronts': {
            front.name: {
                'keys': front.keys,
                'hedge': front.hedge,
                'shards': {
                    shard.name: _build_shard_table(shard, addresses)
                    for shard in front.shards
                },
            }
            for front in fronts
        },
    }


def _build_shard_table(shard: ShardSpec, addresses: dict[str, str]) -> Any:
    return {
        'servers': {
            server.name: {
                'address': addresses[server.name],
                'data_centre': server.data_centre,
                'slots': server.slots,
                'connections': server.connections,
                'connect_ms': server.connect_ms,
            }
            for server in shard.servers
        },
    }
