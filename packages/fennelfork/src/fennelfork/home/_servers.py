"""Configuration and reported state of the servers of a shard."""

from collections.abc import Iterable

import attrs

from fennelfork.gather._partition import ShardView, SnapshotView
from fennelfork.home._blackboard import ServerState, ShardBlackboard
from fennelfork.home._dispatch import dispatch
from fennelfork.home._messages import (
    Action,
    HomeSettings,
    ServerConfig,
    ServerReport,
)
from fennelfork.servers._connection import ConnectionLedger
from fennelfork.servers._drain import DrainState


@attrs.frozen(kw_only=True)
class HomeServers:
    """Controller that updates the servers on the blackboard of a shard."""

    _blackboard: ShardBlackboard

    @property
    def has_snapshots(self) -> bool:
        """Whether any available server reported snapshots."""
        return any(
            server.snapshots
            for server in self._blackboard.servers.values()
            if server.accepts_work
        )

    @property
    def refusing_servers(self) -> tuple[str, ...]:
        """Names of the servers that refused a request and still drain."""
        return tuple(
            name
            for name, server in sorted(self._blackboard.servers.items())
            if server.drain.is_refusing
        )

    def build_view(self, shard: str) -> ShardView:
        """Return the snapshots that the available servers hold."""
        held: dict[int, list[SnapshotView]] = {}
        for server in self._blackboard.servers.values():
            if server.accepts_work:
                for snapshot in server.snapshots:
                    held.setdefault(snapshot.version, []).append(snapshot)
        return ShardView(
            shard=shard,
            snapshots=tuple(
                _merge_ranges(version, held[version])
                for version in sorted(held)
            ),
            refusing_servers=self.refusing_servers,
        )

    def connections(self, server: str) -> ConnectionLedger | None:
        """Return the connections to a server, or `None` if unknown."""
        server_state = self._blackboard.servers.get(server)
        return server_state.connections if server_state else None

    def drain_state(self, server: str) -> DrainState | None:
        """Return the evidence that a server drains, or `None` if unknown."""
        server_state = self._blackboard.servers.get(server)
        return server_state.drain if server_state else None

    def configure(
        self,
        settings: HomeSettings,
        servers: Iterable[ServerConfig],
    ) -> list[Action]:
        """Apply the settings and servers of a configuration version."""
        state = self._blackboard
        state.settings = settings
        state.queue.limit = settings.queue_limit
        state.queue.shares = settings.shares
        state.admission.shares = settings.shares
        state.hedge_budget.ratio = settings.hedge_ratio
        state.retry_budget.ratio = settings.retry_ratio
        named = {config.name: config for config in servers}
        for removed in state.servers.keys() - named.keys():
            state.servers.pop(removed)
        for name, config in named.items():
            _apply_config(state.servers, name, config)
        return dispatch(state)

    def on_report(self, server: str, report: ServerReport) -> list[Action]:
        """Apply a health report of a server."""
        server_state = self._blackboard.servers.get(server)
        if server_state is None:
            return []
        server_state.apply_report(report)
        return dispatch(self._blackboard)

    def on_leaving(self, server: str) -> None:
        """Record that another source reported a server as leaving."""
        server_state = self._blackboard.servers.get(server)
        if server_state is not None:
            server_state.leaving = True


def _apply_config(
    servers: dict[str, ServerState],
    name: str,
    config: ServerConfig,
) -> None:
    known = servers.get(name)
    if known is None or known.config.address != config.address:
        servers[name] = ServerState(
            config=config,
            connections=ConnectionLedger(limit=config.connections),
        )
        return
    known.config = config
    known.connections.limit = config.connections


def _merge_ranges(version: int, held: list[SnapshotView]) -> SnapshotView:
    ranges = {span for snapshot in held for span in snapshot.ranges}
    return SnapshotView(version=version, ranges=tuple(sorted(ranges)))
