"""What this daemon knows of the backend servers it calls."""

import contextlib
from collections.abc import Iterator
from typing import Any

import attrs
from returns.result import Result

from fennelfork import (
    Blackboard,
    Failure,
    KeyRange,
    Server,
    ShardView,
    SnapshotView,
    slot_share,
)
from fennelfork_daemon._backend_client import BackendClient, backend_client


@attrs.define(kw_only=True)
class ServerState:
    """One backend server, as seen from here.

    Attributes:
        outstanding: sub-queries sent and not yet answered.
        serving: whether its health endpoint last said so.
        snapshots: what it last said that it holds.
    """

    name: str
    server: Server
    client: BackendClient
    outstanding: int = 0
    serving: bool = False
    snapshots: tuple[SnapshotView, ...] = ()

    @property
    def free(self) -> int:
        """How many slots are free."""
        return self.server.slots - self.outstanding

    def holds(self, snapshot: int) -> bool:
        """Tell whether the server is known to hold a snapshot."""
        return any(held.version == snapshot for held in self.snapshots)

    @contextlib.contextmanager
    def slot(self) -> Iterator[None]:
        """Hold one slot."""
        self.outstanding += 1
        try:
            yield
        finally:
            self.outstanding -= 1

    def poll(self, timeout_ms: float) -> None:
        """Read its health endpoint."""
        answer: Result[Any, Failure] = self.client.health(timeout_ms)
        answer.map(self._learn)
        answer.alt(self._lost)

    def _learn(self, tree: Any) -> None:
        self.serving = tree['state'] != 'draining'
        self.snapshots = tuple(
            SnapshotView(
                version=held['version'],
                ranges=tuple(
                    KeyRange(lo=lo, hi=hi) for lo, hi in held['ranges']
                ),
            )
            for held in tree['snapshots']
        )

    def _lost(self, failure: Failure) -> None:
        self.serving = False
        self.snapshots = ()


@attrs.define(kw_only=True)
class ServerBook:
    """The servers of the shards that were asked for here."""

    _board: Blackboard
    _servers: dict[tuple[str, str, str], ServerState] = attrs.field(
        factory=dict,
    )

    @property
    def servers(self) -> tuple[ServerState, ...]:
        """All servers known here."""
        return tuple(self._servers.values())

    def of_shard(self, front: str, shard: str) -> tuple[ServerState, ...]:
        """Give the servers of one shard, as now configured."""
        settings = self._board.front(front)
        if settings is None or shard not in settings.shards:
            return ()
        return tuple(
            self._state(front, shard, name, self._usable(server))
            for name, server in settings.shards[shard].servers.items()
        )

    def view(self, front: str, shard: str) -> ShardView:
        """Merge what the servers of a shard hold."""
        held: dict[int, SnapshotView] = {}
        for state in self.of_shard(front, shard):
            for snapshot in state.snapshots:
                held.setdefault(snapshot.version, snapshot)
        return ShardView(
            shard=shard,
            snapshots=tuple(held[version] for version in sorted(held)),
        )

    def _usable(self, server: Server) -> Server:
        board = self._board
        return slot_share(server, board.routing, len(board.members))

    def _state(
        self,
        front: str,
        shard: str,
        name: str,
        server: Server,
    ) -> ServerState:
        place = (front, shard, name)
        known = self._servers.get(place)
        if known is None or known.server != server:
            known = ServerState(
                name=name,
                server=server,
                client=backend_client(name, server),
            )
            self._servers[place] = known
        return known
