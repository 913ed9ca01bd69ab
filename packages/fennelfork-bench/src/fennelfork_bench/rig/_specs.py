"""What a fleet of the rig consists of."""

from collections.abc import Sequence
from typing import Any, Final

import attrs

_DATA_CENTRES: Final = ('dc-1', 'dc-2', 'dc-3')


@attrs.frozen(kw_only=True)
class BackendSpec:
    """One backend server stand-in.

    Attributes:
        lo: first key that it holds.
        hi: first key after those that it holds.
        slots: requests that it runs at once.
        connections: connections that it takes.
        connect_ms: what a new connection costs.
        mean_ms: mean time of a search.
        straggle: share of searches that take `straggle_factor` times as long.
        link_ms: one way through the network, added to both ways.
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
    """The servers that hold the same records."""

    name: str
    servers: tuple[BackendSpec, ...]


@attrs.frozen(kw_only=True)
class FrontSpec:
    """One search front.

    Attributes:
        keys: its key space is `[0, keys)`.
        hedge: the `hedge` table of its configuration.
    """

    name: str
    keys: int
    shards: tuple[ShardSpec, ...]
    hedge: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class DaemonSpec:
    """One daemon; `tables` adds to or replaces tables of its settings."""

    name: str
    region: str
    data_centre: str
    tables: dict[str, dict[str, Any]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class FleetSpec:
    """Everything that the rig starts together.

    Attributes:
        lag_ms: how late the VM list shows a change.
        reads_per_s: rate limit of the key-value service; 0 means none.
        writes_per_s: the same for writes.
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
    """Build a shard of equal servers, spread over the data centres in turn.

    Args:
        name: the shard; servers are `<shard>-<number>`.
        servers: how many.
        template: what they have in common.
        data_centres: where to put them.
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
    """Build daemons spread over the data centres in turn.

    Args:
        count: how many, named `vm-1` and so on.
        data_centres: one region each, as in the deployments of today.
        tables: settings that all share.
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


def front_patch(fronts: Sequence[FrontSpec], addresses: dict[str, str]) -> Any:
    """Build the configuration patch that creates fronts.

    Args:
        fronts: what to create.
        addresses: `ip:port` by name of backend server.
    """
    return {
        'fronts': {
            front.name: {
                'keys': front.keys,
                'hedge': front.hedge,
                'shards': {
                    shard.name: _shard_table(shard, addresses)
                    for shard in front.shards
                },
            }
            for front in fronts
        },
    }


def _shard_table(shard: ShardSpec, addresses: dict[str, str]) -> Any:
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
