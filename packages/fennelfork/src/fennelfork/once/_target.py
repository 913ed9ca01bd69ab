"""Selection of backend servers for a non-idempotent request."""

import random
from collections.abc import Iterable, Iterator

import attrs

from fennelfork.config._document import Front, Server
from fennelfork.gather._partition import ShardView


@attrs.frozen(kw_only=True)
class NamedServer:
    """Configured backend server and its name.

    Attributes:
        name: name of the backend server in the shard.
        server: settings of the backend server.
    """

    name: str
    server: Server


def servers_for_record(
    front: Front,
    views: Iterable[ShardView],
    key: int,
    data_centre: str,
    rng: random.Random,
) -> tuple[NamedServer, ...]:
    """Return the backend servers that hold a record, best first.

    While a record moves, several shards may hold the record; the shard with the
    newest snapshot comes first. A backend server refuses a record that it no
    longer holds.

    Args:
        front: settings of the front.
        views: key ranges that each shard of the front holds.
        key: key of the record.
        data_centre: data centre of the local daemon, whose servers come first.
        rng: source of the random order of equal servers.
    """
    newest = {
        view.shard: version
        for view in views
        if (version := _newest_version(view, key)) is not None
    }
    shard_names = [name for name in front.shards if name in newest]
    shard_names.sort(key=newest.__getitem__, reverse=True)
    candidates: list[NamedServer] = []
    for name in shard_names:
        servers = front.shards[name].servers.items()
        candidates.extend(_order_by_distance(servers, data_centre, rng))
    return tuple(candidates)


def exclude_refusing(
    front: Front, views: Iterable[ShardView], servers: Iterable[NamedServer]
) -> tuple[NamedServer, ...]:
    """Return the backend servers that no home daemon reports as refusing.

    Args:
        front: settings of the front.
        views: views of the shards of the front, from their home daemons.
        servers: backend servers of the front.
    """
    refusing = {
        server.address
        for view in views
        for server in _refusing_servers(front, view)
    }
    return tuple(
        named for named in servers if named.server.address not in refusing
    )


def _refusing_servers(front: Front, view: ShardView) -> Iterator[Server]:
    shard = front.shards.get(view.shard)
    for name in view.refusing_servers:
        if shard is not None and name in shard.servers:
            yield shard.servers[name]


def _newest_version(view: ShardView, key: int) -> int | None:
    """Return the newest snapshot in which a shard holds a record."""
    versions = (
        snapshot.version
        for snapshot in view.snapshots
        if any(part.contains(key) for part in snapshot.ranges)
    )
    return max(versions, default=None)


def _order_by_distance(
    servers: Iterable[tuple[str, Server]],
    data_centre: str,
    rng: random.Random,
) -> list[NamedServer]:
    named = [NamedServer(name=name, server=server) for name, server in servers]
    rng.shuffle(named)
    named.sort(
        key=lambda named_server: named_server.server.data_centre != data_centre
    )
    return named
