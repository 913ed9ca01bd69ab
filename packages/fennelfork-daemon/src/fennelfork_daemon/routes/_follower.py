"""Keeps what a daemon knows up to date with the store."""

import functools
import random
from collections.abc import Iterable
from typing import Any, Final

import attrs
import eventlet
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Failure
from fennelfork.config import Backoff
from fennelfork.routes import STORE_RETRY_DELAY_MS, StorePolling
from fennelfork_daemon.routes._contact import StoreCall, StoreContact
from fennelfork_daemon.routes._facts import Fact
from fennelfork_daemon.routes._pending_call import PendingCall
from fennelfork_daemon.routes._ports import Changes, HistoryGone, Listing, Store
from fennelfork_daemon.routes._update_applier import FactTaker

_MS_PER_SECOND: Final = 1000
# The store is back within seconds, and every refused call costs.
_BACKOFF_CAP_MS: Final = 800.0
_BACKOFF: Final = Backoff(
    base_ms=STORE_RETRY_DELAY_MS,
    cap_ms=_BACKOFF_CAP_MS,
)
# All daemons hear of a change at once. Their watches that find nothing end
# spread over a tenth of their time, not in one wave after another.
_LEAST_WAIT: Final = 0.9


@attrs.define(kw_only=True)
class StoreFollower:
    """Reads the store once, then waits for its changes."""

    _store: Store
    _contact: StoreContact
    _taker: FactTaker
    _pace: StorePolling
    _rng: random.Random
    _pending: PendingCall[Any] = attrs.field(factory=PendingCall)
    _revision: int | None = None
    _failures: int = 0

    @property
    def pace(self) -> StorePolling:
        """How often, and how patiently, the store is asked."""
        return self._pace

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
        called = self._pending.wait_for(self._call)
        if called is None:
            return 0
        if not is_successful(called):
            self._failures += 1
            self._contact.missed(self._asks, called.failure())
            return _BACKOFF.delay_ms(self._failures, self._rng)
        self._failures = 0
        self._contact.reached()
        return _taken(called.unwrap(), self)

    def ask_again(self) -> None:
        """Give up the call that waits: the store was away meanwhile.

        What it forgot then is never answered. The pace bounds how long that is
        waited for; this saves the rest of that time.
        """
        self._pending.give_up()

    def take_facts(self, facts: Iterable[Fact]) -> None:
        """Take facts that are new."""
        self._taker.take(facts)

    def take_all(self, listing: Listing) -> None:
        """Take a whole listing in place of what was known."""
        told_age_ms = self._contact.told_age_ms
        self._contact.told()
        self._taker.take_all(listing.facts, told_age_ms)
        self._revision = listing.revision

    def take_changes(self, changes: Changes) -> None:
        """Take changes."""
        self._contact.told()
        self.take_facts(changes.facts)
        self._revision = changes.revision

    def forget_history(self) -> None:
        """Read everything again at the next step."""
        self._revision = None

    @property
    def _asks(self) -> StoreCall:
        """What the next call asks."""
        if self._revision is None:
            return StoreCall.LISTING
        return StoreCall.CHANGES

    def _call(self) -> Result[Listing | Changes | HistoryGone, Failure]:
        if self._revision is None:
            return self._store.read_all(
                self._pace.listing_timeout_ms(self._failures)
            )
        times = self._pace.watch_timeouts(
            self._contact.told_age_ms, self._failures
        )
        wait_ms = times.wait_ms * self._rng.uniform(_LEAST_WAIT, 1)
        spread = attrs.evolve(times, wait_ms=wait_ms)
        return self._store.changes(self._revision, spread)


def store_follower(
    store: Store,
    contact: StoreContact,
    taker: FactTaker,
    pace: StorePolling,
    rng: random.Random,
) -> StoreFollower:
    """Build a follower that asks again whenever the store comes back."""
    follower = StoreFollower(
        store=store,
        contact=contact,
        taker=taker,
        pace=pace,
        rng=rng,
    )
    contact.listen(follower.ask_again)
    return follower


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
    return follower.pace.batch_delay_ms if found.facts else 0


@_taken.register
def _take_gap(found: HistoryGone, follower: StoreFollower) -> float:
    follower.forget_history()
    return 0
