"""Handling of requests that arrive before the initial configuration."""

from typing import Final

import attrs
import eventlet

from fennelfork import Clock
from fennelfork.routes import (
    INITIAL_LISTING_TIMEOUT_MS,
    CallerLimits,
    RouteTable,
)
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._blackboard import (
    INITIAL_HEADER_BYTES,
    INITIAL_IDLE_MS,
    INITIAL_READ_MS,
    RouteBlackboard,
)

_MS_PER_SECOND: Final = 1000
# Short compared with the wait for the initial listing, 25 to 100 ms.
_POLL_INTERVAL_MS: Final = 4.0
# Limits on requests that arrive before the initial configuration.
INITIAL_LIMITS: Final = CallerLimits(
    header_bytes=INITIAL_HEADER_BYTES,
    body_bytes=INITIAL_HEADER_BYTES,
    header_ms=INITIAL_READ_MS,
    idle_ms=INITIAL_IDLE_MS,
)


@attrs.frozen(kw_only=True)
class InitialRoutes:
    """Provides the active routes and delays callers until they are known.

    After a power outage callers reconnect before the initial listing has
    arrived, and a rejected request would use up their only retry.
    """

    _blackboard: RouteBlackboard
    _availability: StoreAvailability
    _clock: Clock

    @property
    def version(self) -> int:
        """The active version, or zero before the initial configuration."""
        return (
            0
            if self._blackboard.table is None
            else self._blackboard.table.version
        )

    def wait(self) -> RouteTable | None:
        """Return the active routes, or None if there is no configuration.

        Waits only while the initial listing is in flight, not after it has
        failed or has returned no configuration.
        """
        deadline_ms = self._clock.now_ms() + INITIAL_LISTING_TIMEOUT_MS
        while self._is_initial_listing_pending(deadline_ms):
            eventlet.sleep(_POLL_INTERVAL_MS / _MS_PER_SECOND)
        return self._blackboard.table

    def _is_initial_listing_pending(self, deadline_ms: float) -> bool:
        is_before_deadline = self._clock.now_ms() < deadline_ms
        return (
            self._blackboard.table is None
            and self._availability.is_first_call_pending
            and is_before_deadline
        )
