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
_ABSENCE_MS: Final = 1500.0


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
    _reached_ms: float
    _told_ms: float
    _lost: bool = False
    _pending: bool = True
    _on_return: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def pending(self) -> bool:
        """Whether the first call is under way: nothing tells how it ends."""
        return self._pending

    @property
    def told_age_ms(self) -> float:
        """How old what is known is: since the store last told what it holds.

        Renewals of a lease are answered without telling anything.
        """
        return self._clock.now_ms() - self._told_ms

    def listen(self, on_return: Callable[[], None]) -> None:
        """Call a function whenever the store is reached after an absence."""
        self._on_return.append(on_return)

    def missed(self, call: StoreCall, failure: Failure) -> None:
        """Note a call that did not reach the store, or was turned away."""
        self._pending = False
        if not self._lost:
            self._lost = True
            self._reporter.lost(call, failure)

    def told(self) -> None:
        """Note that an answer brought what is known up to date."""
        self._told_ms = self._clock.now_ms()

    def reached(self) -> None:
        """Note a call that was answered."""
        now_ms = self._clock.now_ms()
        away_ms = now_ms - self._reached_ms
        self._reached_ms = now_ms
        self._pending = False
        if not self._lost:
            return
        self._lost = False
        self._reporter.regained(away_ms, self.told_age_ms)
        if away_ms >= _ABSENCE_MS:
            self._board.directory.registry.start_grace_period()
            self._board.members.start_grace_period()
        for on_return in self._on_return:
            on_return()


def store_contact(
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
        reached_ms=now_ms,
        told_ms=now_ms,
    )
