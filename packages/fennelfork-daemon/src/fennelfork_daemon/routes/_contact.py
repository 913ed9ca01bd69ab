"""Whether the store is reached, by all calls of this daemon together."""

import enum
from collections.abc import Callable
from typing import Final

import attrs

from fennelfork import Clock, Failure
from fennelfork_daemon.routes._board import RouteBoard
from fennelfork_daemon.routes._store_reporter import StoreReporter

# Two renewals missed: registrations may have lapsed meanwhile. A watch whose
# connection broke alone is no absence.
_MIN_OUTAGE_MS: Final = 1500.0


class StoreCall(enum.StrEnum):
    """What the store is asked, as log lines name it."""

    LISTING = 'listing'
    CHANGES = 'changes'
    LEASE = 'lease'


@attrs.define(kw_only=True)
class StoreContact:
    """Notes calls that reached the store, and those that did not."""

    _board: RouteBoard
    _clock: Clock
    _reporter: StoreReporter
    _responded_ms: float
    _updated_ms: float
    _is_unavailable: bool = False
    _is_first_call_pending: bool = True
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def is_first_call_pending(self) -> bool:
        """Whether the first call is under way: nothing tells how it ends."""
        return self._is_first_call_pending

    @property
    def data_age_ms(self) -> float:
        """How old what is known is: since the store last told what it holds.

        Renewals of a lease are answered without telling anything.
        """
        return self._clock.now_ms() - self._updated_ms

    def add_listener(self, on_available: Callable[[], None]) -> None:
        """Call a function whenever the store is reached after an absence."""
        self._listeners.append(on_available)

    def record_failure(self, call: StoreCall, failure: Failure) -> None:
        """Note a call that did not reach the store, or was turned away."""
        self._is_first_call_pending = False
        if not self._is_unavailable:
            self._is_unavailable = True
            self._reporter.store_unavailable(call, failure)

    def record_update(self) -> None:
        """Note that an answer brought what is known up to date."""
        self._updated_ms = self._clock.now_ms()

    def record_response(self) -> None:
        """Note a call that was answered."""
        now_ms = self._clock.now_ms()
        unavailable_ms = now_ms - self._responded_ms
        self._responded_ms = now_ms
        self._is_first_call_pending = False
        if not self._is_unavailable:
            return
        self._is_unavailable = False
        self._reporter.store_available(unavailable_ms, self.data_age_ms)
        if unavailable_ms >= _MIN_OUTAGE_MS:
            self._board.directory.registry.start_grace_period()
            self._board.members.start_grace_period()
        for on_available in self._listeners:
            on_available()


def store_availability(
    board: RouteBoard,
    clock: Clock,
    reporter: StoreReporter,
) -> StoreContact:
    """Build the contact of a daemon that starts now."""
    now_ms = clock.now_ms()
    return StoreContact(
        board=board,
        clock=clock,
        reporter=reporter,
        responded_ms=now_ms,
        updated_ms=now_ms,
    )
