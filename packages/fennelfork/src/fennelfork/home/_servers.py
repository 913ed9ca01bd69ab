"""What a home knows of a shard's servers, and from whom."""

from collections.abc import Iterable

import attrs

from fennelfork.gather._partition import ShardView, SnapshotView
from fennelfork.home._board import Board, ServerState
from fennelfork.home._dispatch import dispatch
from fennelfork.home._messages import (
    Action,
    HomeSettings,
    ServerFacts,
    ServerReport,
)
from fennelfork.servers._connection import ConnectionLedger


@attrs.frozen(kw_only=True)
class HomeServers:
    """Writes facts about servers to the blackboard of their shard."""

    _board: Board

    @property
    def known(self) -> bool:
        """Whether any server that stays said what it holds."""
        return any(
            server.snapshots
            for server in self._board.servers.values()
            if server.staying
        )

    def view(self, shard: str) -> ShardView:
        """Tell what the servers that stay hold."""
        held: dict[int, list[SnapshotView]] = {}
        for server in self._board.servers.values():
            if server.staying:
                for snapshot in server.snapshots:
                    held.setdefault(snapshot.version, []).append(snapshot)
        return ShardView(
            shard=shard,
            snapshots=tuple(
                _union(version, held[version]) for version in sorted(held)
            ),
        )

    def connections(self, server: str) -> ConnectionLedger | None:
        """Give the connections to a server; none if it is unknown."""
        found = self._board.servers.get(server)
        return found.connections if found else None

    def configure(
        self,
        settings: HomeSettings,
        servers: Iterable[ServerFacts],
    ) -> list[Action]:
        """Take the settings and servers of a configuration version."""
        state = self._board
        state.settings = settings
        state.queue.limit = settings.queue_limit
        state.queue.shares = settings.shares
        state.admission.shares = settings.shares
        state.hedge_budget.ratio = settings.hedge_ratio
        state.retry_budget.ratio = settings.retry_ratio
        named = {facts.name: facts for facts in servers}
        for gone in state.servers.keys() - named.keys():
            state.servers.pop(gone)
        for name, facts in named.items():
            _take_facts(state.servers, name, facts)
        return dispatch(state)

    def on_report(self, server: str, report: ServerReport) -> list[Action]:
        """Take what a server's health endpoint says."""
        found = self._board.servers.get(server)
        if found is None:
            return []
        found.report(report, self._board.clock.now_ms())
        return dispatch(self._board)

    def on_leaving(self, server: str) -> None:
        """Take another source's word that a server leaves."""
        found = self._board.servers.get(server)
        if found is not None:
            found.leaving = True


def _take_facts(
    servers: dict[str, ServerState],
    name: str,
    facts: ServerFacts,
) -> None:
    known = servers.get(name)
    if known is None:
        servers[name] = ServerState(
            facts=facts,
            connections=ConnectionLedger(limit=facts.connections),
        )
        return
    known.facts = facts
    known.connections.limit = facts.connections


def _union(version: int, held: list[SnapshotView]) -> SnapshotView:
    ranges = {span for snapshot in held for span in snapshot.ranges}
    return SnapshotView(version=version, ranges=tuple(sorted(ranges)))
