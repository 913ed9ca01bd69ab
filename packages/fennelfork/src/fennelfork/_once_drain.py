"""Backend servers that refused a request because they leave."""

from typing import Final

import attrs

from fennelfork._clock import Clock

_TRUSTED_MS: Final = 5000


@attrs.define(kw_only=True)
class DrainMemory:
    """Remembers for a while who said that it drains, whatever it reports.

    A server that was asked to come back gets work again when its last refusal
    is older than that.
    """

    _clock: Clock
    _until_ms: dict[str, float] = attrs.field(factory=dict)

    def note(self, address: str) -> None:
        """Take note of a refusal."""
        now_ms = self._clock.now_ms()
        self._until_ms = {
            known: until_ms
            for known, until_ms in self._until_ms.items()
            if now_ms < until_ms
        }
        self._until_ms[address] = now_ms + _TRUSTED_MS

    def holds(self, address: str) -> bool:
        """Tell whether a server refused lately."""
        return self._clock.now_ms() < self._until_ms.get(address, 0)


def drain_memory(clock: Clock) -> DrainMemory:
    """Build an empty memory."""
    return DrainMemory(clock=clock)
