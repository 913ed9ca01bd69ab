"""Fleets of the experiments on answers, at the sizes of the brief."""

from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import await_version, first_patch, version
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
_KEYS_A_SHARD: Final = 100
_LOG_CAP_MS: Final = 60_000


@attrs.frozen(kw_only=True)
class FrontSize:
    """How large a front is.

    Attributes:
        shards: how many shards, which is the fan-out of a query.
        servers: backend servers of each shard.
        slots: slots of each server.
        mean_ms: mean service time.
        straggle: share of requests that take ten times as long.
        daemons: how many daemons.
    """

    shards: int
    servers: int = 3
    slots: int = 5
    mean_ms: float = 6
    straggle: float = 0
    daemons: int = 9

    @property
    def keys(self) -> int:
        """Size of the key space."""
        return self.shards * _KEYS_A_SHARD

    @property
    def capacity(self) -> float:
        """Queries a second that keep all slots busy, without hedges."""
        slowest = 1 + self.straggle * (_STRAGGLE_FACTOR - 1)
        return self.servers * self.slots * _MS / (self.mean_ms * slowest)


_MS: Final = 1000
_STRAGGLE_FACTOR: Final = 10


def start_front(
    rig: Rig,
    size: FrontSize,
    seed: int,
    tables: dict[str, dict[str, Any]] | None = None,
) -> Fleet:
    """Start a fleet with one front, and put it in force without hedges.

    Args:
        rig: takes the processes.
        size: the size of the front.
        seed: of the service times.
        tables: settings that all daemons share.
    """
    front = FrontSpec(name=FRONT, keys=size.keys, shards=_shards(size, seed))
    spec = FleetSpec(
        fronts=(front,),
        daemons=daemon_specs(size.daemons, tables=tables),
    )
    fleet = empty_fleet(rig, spec).start_backends().start_daemons()
    put_hedge(fleet, {'policy': 'none'})
    return fleet


def put_hedge(fleet: Fleet, hedge: dict[str, Any]) -> None:
    """Put a hedge policy in force on all daemons."""
    patch = first_patch(fleet)
    patch['fronts'][FRONT]['hedge'] = hedge
    wanted = max(map(version, fleet.operators)) + 1
    document = {'version': max(wanted, 1), 'patches': [], **patch}
    fleet.platform.write_document(document)
    await_version(fleet, document['version'])


def order_faults(fleet: Fleet, server: str, **faults: Any) -> None:
    """Switch the faults of one backend server.

    Raises:
        RigError: if it refused.
    """
    address = fleet.backends[server].ready['control']
    reply = http.post(address, '/control/faults', faults)
    if not reply.fine:
        raise RigError(f'faults refused: {reply}')


def log_pages(fleet: Fleet) -> Iterator[dict[str, Any]]:
    """Read the logs of all backend servers, one after the other.

    Raises:
        RigError: if a server does not answer.
    """
    for process in fleet.backends.values():
        address = process.ready['control']
        reply = http.get(address, '/control/log', _LOG_CAP_MS)
        if not reply.fine:
            raise RigError(f'no log of {process.name}: {reply}')
        yield reply.body


def server_counts(fleet: Fleet) -> Counter[str]:
    """Add up what all backend servers counted so far."""
    total: Counter[str] = Counter()
    for process in fleet.backends.values():
        reply = http.get(process.ready['control'], '/control/counts')
        total.update(reply.body['counts'])
    return total


def _shards(size: FrontSize, seed: int) -> tuple[ShardSpec, ...]:
    return tuple(
        shard_spec(
            f's{index}',
            size.servers,
            BackendSpec(
                name='template',
                lo=index * _KEYS_A_SHARD,
                hi=(index + 1) * _KEYS_A_SHARD,
                keys=size.keys,
                slots=size.slots,
                mean_ms=size.mean_ms,
                straggle=size.straggle,
                straggle_factor=_STRAGGLE_FACTOR,
                seed=seed * _KEYS_A_SHARD + index * size.servers,
            ),
            [f'dc-{index % 3 + 1}'],
        )
        for index in range(size.shards)
    )
