"""Failures of the daemons that pass on updates of the store."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork._clock import Clock

# Time until a relay that did not respond is asked again.
_UNRESPONSIVE_MS: Final = 3000.0
# Time until a relay that cannot read the store is asked again.
_DISCONNECTED_MS: Final = 1000.0


@attrs.define(kw_only=True)
class RelayHealth:
    """Failures of relays, by the name of the daemon."""

    _clock: Clock
    _unresponsive: dict[str, float] = attrs.field(factory=dict)
    _disconnected: dict[str, float] = attrs.field(factory=dict)

    def record_failure(self, name: str) -> None:
        """Record that a relay did not respond, or not with valid updates."""
        self._unresponsive[name] = self._clock.now_ms() + _UNRESPONSIVE_MS

    def record_disconnected(self, name: str) -> None:
        """Record that a relay responded and has no current updates."""
        self._disconnected[name] = self._clock.now_ms() + _DISCONNECTED_MS

    def first_connected(self, names: Iterable[str]) -> str | None:
        """Return the first relay without a recent failure, if any."""
        now_ms = self._clock.now_ms()
        return next(
            (
                name
                for name in names
                if self._unresponsive.get(name, 0) <= now_ms
                and self._disconnected.get(name, 0) <= now_ms
            ),
            None,
        )

    def first_responsive(self, names: Iterable[str]) -> str | None:
        """Return the first relay that responds, even without updates."""
        now_ms = self._clock.now_ms()
        return next(
            (
                name
                for name in names
                if self._unresponsive.get(name, 0) <= now_ms
            ),
            None,
        )
