"""Exclusion of draining backend servers from non-idempotent requests."""

import attrs
import eventlet

from fennelfork import Blackboard
from fennelfork.home import DrainingServers, ServerKey, draining_servers
from fennelfork.servers import DrainState
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._drain_monitor import drain_monitor
from fennelfork_daemon.execute._connection import ExecuteTarget
from fennelfork_daemon.logs._logs import StateLog, state_log


@attrs.frozen(kw_only=True)
class DrainExclusion:
    """Excludes servers that refused a request, and monitors their drains.

    Attributes:
        servers: record of the refusals.
    """

    servers: DrainingServers
    _blackboard: Blackboard
    _log: StateLog

    def record_refusal(self, target: ExecuteTarget) -> None:
        """Exclude a server until its drain ends."""
        server = ServerKey(
            name=target.name, address=f'{target.host}:{target.port}'
        )
        drain = self.servers.record_refusal(server)
        if drain is not None:
            self._log_state(server, 'draining', 'refusal')
            eventlet.spawn_n(self._monitor, server, drain)

    def _monitor(self, server: ServerKey, drain: DrainState) -> None:
        monitor = drain_monitor(
            address(server.address),
            drain,
            lambda: self._is_configured(server),
        )
        evidence = monitor.run()
        if self.servers.is_tracked(server, drain):
            self.servers.discard(server)
            self._log_state(server, 'not draining', evidence)

    def _is_configured(self, server: ServerKey) -> bool:
        """Whether the active configuration has the server at its address."""
        shards = (
            shard
            for front in self._blackboard.document.fronts.values()
            for shard in front.shards.values()
        )
        configured = (shard.servers.get(server.name) for shard in shards)
        return any(
            found is not None and found.address == server.address
            for found in configured
        )

    def _log_state(self, server: ServerKey, state: str, evidence: str) -> None:
        self._log.change(
            f'execution on server {server.name}',
            state,
            address=server.address,
            evidence=evidence,
        )


def drain_exclusion(blackboard: Blackboard) -> DrainExclusion:
    """Build an exclusion without draining servers."""
    return DrainExclusion(
        servers=draining_servers(),
        blackboard=blackboard,
        log=state_log(daemon=blackboard.local.name),
    )
