"""Exclusion of backend servers that refused requests as draining."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.once._target import NamedServer

# Time for which a server is excluded after a refusal.
_EXCLUSION_MS: Final = 30_000


@attrs.define(kw_only=True)
class DrainingServers:
    """Servers that recently refused a request as draining."""

    _clock: Clock
    _until_ms: dict[str, float] = attrs.field(factory=dict)

    def record_refusal(self, address: str) -> None:
        """Record that the server at an address refused a request as draining."""
        now_ms = self._clock.now_ms()
        for other, until_ms in tuple(self._until_ms.items()):
            if until_ms <= now_ms:
                self._until_ms.pop(other)
        self._until_ms[address] = now_ms + _EXCLUSION_MS

    def exclude_draining(
        self,
        servers: Iterable[NamedServer],
    ) -> tuple[NamedServer, ...]:
        """Return the servers without those that recently refused a request."""
        now_ms = self._clock.now_ms()
        return tuple(
            server
            for server in servers
            if self._until_ms.get(server.server.address, 0) <= now_ms
        )


def draining_servers(clock: Clock) -> DrainingServers:
    """Create a record without refusals of draining servers."""
    return DrainingServers(clock=clock)
