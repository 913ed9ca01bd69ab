"""Log of backend servers that start or stop draining."""

import attrs

from fennelfork.home import HomeServers
from fennelfork_daemon.logs._logs import StateLog


@attrs.frozen(kw_only=True)
class DrainLog:
    """Logs when a server of a shard starts or stops to count as draining."""

    _servers: HomeServers
    _log: StateLog
    _reported: set[str] = attrs.field(factory=set)

    def record(self, server: str, evidence: str, **facts: str) -> None:
        """Log the state of a server, if it changed.

        Args:
            server: name of the server.
            evidence: source of the latest information about the server.
            facts: further values of the log line.
        """
        drain = self._servers.drain_state(server)
        is_draining = drain is not None and drain.is_draining
        if not is_draining and server not in self._reported:
            return
        self._reported.add(server)
        self._log.change(
            f'server {server}',
            'draining' if is_draining else 'not draining',
            evidence=evidence,
            **facts,
        )
