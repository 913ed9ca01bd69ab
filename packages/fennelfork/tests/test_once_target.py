"""Selection of backend servers for a non-idempotent request."""

import random

import attrs

from fennelfork.config import Front, Server, Shard
from fennelfork.gather import ShardView, SnapshotView, key_range
from fennelfork.once import exclude_refusing, servers_for_record


def _server(centre: str) -> Server:
    return Server(
        address='127.0.0.1:9001',
        data_centre=centre,
        slots=5,
        connections=40,
        connect_ms=6,
    )


def _view(shard: str, **held: tuple[int, int]) -> ShardView:
    return ShardView(
        shard=shard,
        snapshots=tuple(
            SnapshotView(version=int(name[1:]), ranges=(key_range(lo, hi),))
            for name, (lo, hi) in held.items()
        ),
    )


_FRONT = Front(
    keys=100,
    shards={
        'a': Shard(servers={'a1': _server('dc-1'), 'a2': _server('dc-2')}),
        'b': Shard(servers={'b1': _server('dc-1')}),
    },
)


def _names(key: int, *views: ShardView, seed: int = 1) -> list[str]:
    servers = servers_for_record(
        _FRONT, views, key, 'dc-2', random.Random(seed)
    )
    return [named_server.name for named_server in servers]


class TestServersForRecord:
    """Order of the backend servers of a record."""

    def test_local_servers_first(self) -> None:
        """Servers in the daemon's data centre come first."""
        view = _view('a', v1=(0, 50))
        for seed in range(5):
            assert _names(7, view, seed=seed) == ['a2', 'a1']

    def test_newest_snapshot_first(self) -> None:
        """A moved record is executed by its new shard first."""
        old, new = _view('a', v1=(0, 50)), _view('b', v2=(0, 50))
        assert _names(7, old, new) == ['b1', 'a2', 'a1']

    def test_no_shard_holds_the_record(self) -> None:
        """A record that no configured shard holds has no server."""
        views = (_view('a', v1=(0, 50)), _view('gone', v1=(50, 100)))
        assert not _names(60, *views)


class TestExcludeRefusing:
    """Guard against executions on servers that their home daemon avoids."""

    def test_refusing_server_is_excluded(self) -> None:
        """A server that refused a query gets no execution either."""
        moved = attrs.evolve(_server('dc-1'), address='127.0.0.1:9002')
        front = Front(
            keys=100,
            shards={'a': Shard(servers={'a1': _server('dc-1'), 'a2': moved})},
        )
        view = attrs.evolve(_view('a', v1=(0, 50)), refusing_servers=('a2',))
        servers = servers_for_record(front, [view], 7, 'dc-1', random.Random(1))
        usable = exclude_refusing(front, [view], servers)
        assert [named.name for named in usable] == ['a1']

    def test_unknown_names_are_ignored(self) -> None:
        """A view may name shards and servers that were removed."""
        views = [
            attrs.evolve(_view('a'), refusing_servers=('gone',)),
            attrs.evolve(_view('gone'), refusing_servers=('a1',)),
        ]
        servers = servers_for_record(
            _FRONT, [_view('a', v1=(0, 50))], 7, 'dc-1', random.Random(1)
        )
        assert exclude_refusing(_FRONT, views, servers) == servers
