"""Keeps what a daemon knows up to date with the store."""

import functools
import random
from typing import Any, Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Backoff, Clock, Failure
from fennelfork_daemon.routes._apply import FactTaker
from fennelfork_daemon.routes._board import RouteBoard
from fennelfork_daemon.routes._ports import Changes, HistoryGone, Listing, Store
from fennelfork_daemon.routes._telling import StoreTelling

_MS_PER_SECOND: Final = 1000
# Changes that come within this time are fetched by one call; far below the
# seconds in which a change has to be in force.
_GATHER_MS: Final = 300.0
# After an absence of this length leases may have lapsed meanwhile.
_ABSENCE_MS: Final = 800.0
# The store is back within seconds, and every refused call costs.
_BACKOFF_BASE_MS: Final = 150.0
_BACKOFF_CAP_MS: Final = 800.0
_BACKOFF: Final = Backoff(
    base_ms=_BACKOFF_BASE_MS,
    cap_ms=_BACKOFF_CAP_MS,
)


@attrs.define(kw_only=True)
class StoreFollower:
    """Reads the store once, then waits for its changes."""

    _store: Store
    _board: RouteBoard
    _clock: Clock
    _taker: FactTaker
    _telling: StoreTelling
    _rng: random.Random
    _revision: int | None = None
    _failures: int = 0
    _away_since_ms: float | None = None

    def run(self) -> None:
        """Follow the store until the process ends."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            wait_ms = self.step()
            eventlet.sleep(wait_ms / _MS_PER_SECOND)

    def step(self) -> float:
        """Make one call of the store.

        Returns:
            How long to wait before the next.
        """
        if self._revision is None:
            called = self._store.read_all()
        else:
            called = self._store.changes(self._revision)
        if not is_successful(called):
            return self._missed(called.failure())
        self._reached()
        return self._take(called.unwrap())

    def missed(self) -> None:
        """Note that another call of this daemon did not reach the store."""
        if self._away_since_ms is None:
            self._away_since_ms = self._clock.now_ms()

    def take_all(self, listing: Listing) -> None:
        """Take a whole listing in place of what was known."""
        self._taker.take_all(listing.facts)
        self._revision = listing.revision

    def take_changes(self, changes: Changes) -> None:
        """Take changes."""
        self._taker.take(changes.facts)
        self._revision = changes.revision

    def forget_history(self) -> None:
        """Read everything again at the next step."""
        self._revision = None

    def _missed(self, failure: Failure) -> float:
        self._failures += 1
        self.missed()
        self._telling.lost(failure)
        return _BACKOFF.delay_ms(self._failures, self._rng)

    def _reached(self) -> None:
        self._failures = 0
        if self._away_since_ms is None:
            return
        away_ms = self._clock.now_ms() - self._away_since_ms
        self._away_since_ms = None
        self._telling.regained(away_ms)
        if away_ms >= _ABSENCE_MS:
            self._board.roster.registry.hold()
            self._board.members.hold()

    def _take(self, found: Listing | Changes | HistoryGone) -> float:
        return _taken(found, self)


@functools.singledispatch
def _taken(found: Any, follower: StoreFollower) -> float:
    """Take what the store answered and tell how long to wait."""
    raise TypeError(f'not an answer of the store: {found!r}')


@_taken.register
def _take_listing(found: Listing, follower: StoreFollower) -> float:
    follower.take_all(found)
    return 0


@_taken.register
def _take_changes(found: Changes, follower: StoreFollower) -> float:
    follower.take_changes(found)
    return _GATHER_MS if found.facts else 0


@_taken.register
def _take_gap(found: HistoryGone, follower: StoreFollower) -> float:
    follower.forget_history()
    return 0
