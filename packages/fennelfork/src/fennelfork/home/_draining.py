"""Exclusion of backend servers that refused requests as draining."""

from collections.abc import Iterable

import attrs

from fennelfork.once._target import NamedServer
from fennelfork.servers._drain import DrainState


@attrs.frozen(kw_only=True)
class ServerKey:
    """Name and address of a backend server; another pair is another server."""

    name: str
    address: str


@attrs.define(kw_only=True)
class DrainingServers:
    """Servers that refused a request as draining, until their drains end."""

    _drains: dict[ServerKey, DrainState] = attrs.field(factory=dict)

    def record_refusal(self, server: ServerKey) -> DrainState | None:
        """Record that a server refused a request as draining.

        Returns:
            The state that a monitor of the server has to update, or `None` if
            an earlier refusal returned that state.
        """
        known = self._drains.get(server)
        if known is not None and known.is_draining:
            known.record_refusal()
            return None
        drain = DrainState()
        drain.record_refusal()
        self._drains[server] = drain
        return drain

    def is_tracked(self, server: ServerKey, drain: DrainState) -> bool:
        """Whether a state is the current one of a server."""
        return self._drains.get(server) is drain

    def discard(self, server: ServerKey) -> None:
        """Discard the state of a server, whose drain is no longer monitored."""
        self._drains.pop(server, None)

    def exclude_draining(
        self,
        servers: Iterable[NamedServer],
    ) -> tuple[NamedServer, ...]:
        """Return the servers that are not draining."""
        return tuple(
            server
            for server in servers
            if not self._is_draining(
                ServerKey(name=server.name, address=server.server.address)
            )
        )

    def _is_draining(self, server: ServerKey) -> bool:
        drain = self._drains.get(server)
        return drain is not None and drain.is_draining


def draining_servers() -> DrainingServers:
    """Create a record without refusals of draining servers."""
    return DrainingServers()
