"""Fleets with one front for the experiments on answers to callers."""

from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import (
    await_version,
    build_initial_patch,
    fetch_version,
)
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import Rig, RigError
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
    shard_spec,
)

FRONT: Final = 'raft-search'
_KEYS_PER_SHARD: Final = 100
_LOG_TIMEOUT_MS: Final = 60_000


@attrs.frozen(kw_only=True)
class FrontSize:
    """Size of a front and of its fleet.

    Attributes:
        shards: number of shards, which is the fan-out of a query.
        servers: number of backend servers of each shard.
        slots: number of slots of each backend server.
        mean_ms: mean service time.
        straggle: share of requests that take ten times the service time.
        daemons: number of daemons.
    """

    shards: int
    servers: int = 3
    slots: int = 5
    mean_ms: float = 6
    straggle: float = 0
    daemons: int = 9

    @property
    def keys(self) -> int:
        """Number of keys of the front."""
        return self.shards * _KEYS_PER_SHARD

    @property
    def capacity_per_s(self) -> float:
        """Queries per second that keep all slots busy, without hedges."""
        mean_factor = 1 + self.straggle * (_STRAGGLE_FACTOR - 1)
        return (
            self.servers * self.slots * _MS_PER_S / (self.mean_ms * mean_factor)
        )


_MS_PER_S: Final = 1000
_STRAGGLE_FACTOR: Final = 10


def start_front_fleet(
    rig: Rig,
    size: FrontSize,
    seed: int,
    tables: dict[str, dict[str, Any]] | None = None,
) -> Fleet:
    """Start a fleet with one front that is configured without hedges.

    Args:
        rig: rig that starts the processes.
        size: size of the front.
        seed: seed of the service times.
        tables: settings tables that all daemons share.
    """
    front = FrontSpec(
        name=FRONT, keys=size.keys, shards=_build_shards(size, seed)
    )
    spec = FleetSpec(
        fronts=(front,),
        daemons=daemon_specs(size.daemons, tables=tables),
    )
    fleet = empty_fleet(rig, spec).start_backends().start_daemons()
    apply_hedge_policy(fleet, {'policy': 'none'})
    return fleet


def apply_hedge_policy(fleet: Fleet, hedge: dict[str, Any]) -> None:
    """Configure a hedge policy and wait until all daemons use it."""
    patch = build_initial_patch(fleet)
    patch['fronts'][FRONT]['hedge'] = hedge
    next_version = max(map(fetch_version, fleet.operators)) + 1
    document = {'version': max(next_version, 1), 'patches': [], **patch}
    fleet.platform.write_document(document)
    await_version(fleet, document['version'])


def inject_faults(fleet: Fleet, server: str, **faults: Any) -> None:
    """Inject faults into one backend server.

    Raises:
        RigError: if the backend server refuses the faults.
    """
    address = fleet.backends[server].ready['control']
    reply = http.post(address, '/control/faults', faults)
    if not reply.is_success:
        raise RigError(f'backend server {server!r} refused the faults: {reply}')


def read_server_logs(fleet: Fleet) -> Iterator[dict[str, Any]]:
    """Read the event logs of all backend servers, one after the other.

    Raises:
        RigError: if a backend server does not return its log.
    """
    for process in fleet.backends.values():
        address = process.ready['control']
        reply = http.get(address, '/control/log', _LOG_TIMEOUT_MS)
        if not reply.is_success:
            raise RigError(f'cannot read the log of {process.name}: {reply}')
        yield reply.body


def sum_server_counts(fleet: Fleet) -> Counter[str]:
    """Return the sum of the counters of all backend servers."""
    total: Counter[str] = Counter()
    for process in fleet.backends.values():
        reply = http.get(process.ready['control'], '/control/counts')
        total.update(reply.body['counts'])
    return total


def _build_shards(size: FrontSize, seed: int) -> tuple[ShardSpec, ...]:
    return tuple(
        shard_spec(
            f's{index}',
            size.servers,
            BackendSpec(
                name='template',
                lo=index * _KEYS_PER_SHARD,
                hi=(index + 1) * _KEYS_PER_SHARD,
                keys=size.keys,
                slots=size.slots,
                mean_ms=size.mean_ms,
                straggle=size.straggle,
                straggle_factor=_STRAGGLE_FACTOR,
                seed=seed * _KEYS_PER_SHARD + index * size.servers,
            ),
            [f'dc-{index % 3 + 1}'],
        )
        for index in range(size.shards)
    )
