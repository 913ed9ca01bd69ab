"""Requests that come before a daemon knows its first configuration."""

from typing import Final

import attrs
import eventlet

from fennelfork import Clock
from fennelfork.routes import (
    INITIAL_LISTING_TIMEOUT_MS,
    CallerLimits,
    RouteTable,
)
from fennelfork_daemon.routes._board import (
    INITIAL_HEADER_BYTES,
    INITIAL_IDLE_MS,
    INITIAL_READ_MS,
    RouteBoard,
)
from fennelfork_daemon.routes._contact import StoreContact

_MS_PER_SECOND: Final = 1000
# Far less than the wait, which is 25 to 100 ms.
_POLL_INTERVAL_MS: Final = 4.0
# What is read of a request while no configuration says how much.
FIRST_LIMITS: Final = CallerLimits(
    header_bytes=INITIAL_HEADER_BYTES,
    body_bytes=INITIAL_HEADER_BYTES,
    header_ms=INITIAL_READ_MS,
    idle_ms=INITIAL_IDLE_MS,
)


@attrs.frozen(kw_only=True)
class FirstRoutes:
    """Gives the routes in force, and waits for the very first.

    A daemon that starts beside eight others knows them after 25 to 100 ms.
    Refused meanwhile, a caller that a loss of all power cut off has used up its
    one further try: 25 requests of one such loss, of 240 in those two seconds.
    """

    _board: RouteBoard
    _contact: StoreContact
    _clock: Clock

    @property
    def version(self) -> int:
        """The version in force, zero if there is none yet."""
        return 0 if self._board.table is None else self._board.table.version

    def wait(self) -> RouteTable | None:
        """Give the routes; none if the store has told of none.

        Waits only while the first read of the store is under way: once that
        has failed or told of no configuration, the answer is there.
        """
        deadline_ms = self._clock.now_ms() + INITIAL_LISTING_TIMEOUT_MS
        while self._is_initial_listing_pending(deadline_ms):
            eventlet.sleep(_POLL_INTERVAL_MS / _MS_PER_SECOND)
        return self._board.table

    def _is_initial_listing_pending(self, deadline_ms: float) -> bool:
        is_before_deadline = self._clock.now_ms() < deadline_ms
        return (
            self._board.table is None
            and self._contact.is_first_call_pending
            and is_before_deadline
        )
