"""Detection that the store no longer has the entry of this daemon."""

from typing import Final

import attrs

from fennelfork import Clock
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._blackboard import RouteBlackboard

# Data that was read this long after a write of the entry shows the write, also
# when another daemon has passed it on.
_VISIBLE_AFTER_MS: Final = 1000.0


@attrs.define(kw_only=True)
class EntryLoss:
    """Compares the entry in the store with the registration of this daemon.

    A write whose response was lost may be executed late and attach the entry to
    a former lease, with which the entry then goes.
    """

    _blackboard: RouteBlackboard
    _availability: StoreAvailability
    _clock: Clock
    _written_ms: float = 0

    def record_write(self) -> None:
        """Record that the entry is in the store now."""
        self._written_ms = self._clock.now_ms()

    def has_lost(self, lease: int | None) -> bool:
        """Whether the store no longer has the entry under a lease.

        Args:
            lease: lease of the registration, or None if not registered.
        """
        if lease in {None, self._blackboard.entry_lease}:
            return False
        read_ms = self._clock.now_ms() - self._availability.data_age_ms
        return read_ms - self._written_ms >= _VISIBLE_AFTER_MS
