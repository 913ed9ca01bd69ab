"""Follows the servers of a shard that refused a request as draining."""

import attrs
import eventlet

from fennelfork.home import HomeServers
from fennelfork.servers import DrainState
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._drain_monitor import drain_monitor
from fennelfork_daemon.home._drain_log import DrainLog


@attrs.define(kw_only=True)
class DrainFollower:
    """Runs one monitor for each server that refused a request.

    Attributes:
        log: log of servers that start or stop draining.
    """

    log: DrainLog
    _servers: HomeServers
    _monitored: dict[str, DrainState] = attrs.field(factory=dict)

    def record_refusal(
        self, server: str, server_address: str, attempt: str
    ) -> None:
        """Log the refusal of an attempt, and monitor the server.

        Args:
            server: name of the server.
            server_address: address of the server.
            attempt: name of the refused attempt.
        """
        self.log.record(server, 'refusal', attempt=attempt)
        drain = self._servers.drain_state(server)
        if drain is None or self._monitored.get(server) is drain:
            return
        self._monitored[server] = drain
        eventlet.spawn_n(self._monitor, server, server_address, drain)

    def stop(self) -> None:
        """Stop all monitors."""
        self._monitored.clear()

    def _is_current(self, server: str, drain: DrainState) -> bool:
        return (
            self._monitored.get(server) is drain
            and self._servers.drain_state(server) is drain
        )

    def _monitor(
        self, server: str, server_address: str, drain: DrainState
    ) -> None:
        monitor = drain_monitor(
            address(server_address),
            drain,
            lambda: self._is_current(server, drain),
        )
        evidence = monitor.run()
        if self._monitored.get(server) is drain:
            self._monitored.pop(server)
        self.log.record(server, evidence)
