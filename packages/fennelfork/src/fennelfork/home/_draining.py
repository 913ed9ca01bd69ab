"""Backend servers that said themselves that they are leaving."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.once._target import NamedServer

# A server that came back is used again this long after its last refusal.
_EXCLUSION_MS: Final = 30_000


@attrs.define(kw_only=True)
class DrainingServers:
    """Remembers refusals as draining, which no health endpoint may belie."""

    _clock: Clock
    _until_ms: dict[str, float] = attrs.field(factory=dict)

    def record_refusal(self, address: str) -> None:
        """Take note that the server there refused a request as draining."""
        now_ms = self._clock.now_ms()
        for other, until_ms in tuple(self._until_ms.items()):
            if until_ms <= now_ms:
                self._until_ms.pop(other)
        self._until_ms[address] = now_ms + _EXCLUSION_MS

    def exclude_draining(
        self,
        servers: Iterable[NamedServer],
    ) -> tuple[NamedServer, ...]:
        """Leave out the servers that refused not long ago."""
        now_ms = self._clock.now_ms()
        return tuple(
            server
            for server in servers
            if self._until_ms.get(server.server.address, 0) <= now_ms
        )


def draining_servers(clock: Clock) -> DrainingServers:
    """Build an empty memory."""
    return DrainingServers(clock=clock)
