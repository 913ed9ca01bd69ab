"""Synchronises the blackboard of a daemon with the store."""

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
from fennelfork_daemon.routes._availability import StoreAvailability, StoreCall
from fennelfork_daemon.routes._cancellable_call import CancellableCall
from fennelfork_daemon.routes._ports import (
    HistoryCompacted,
    Listing,
    Store,
    UpdateBatch,
)
from fennelfork_daemon.routes._update_applier import UpdateApplier
from fennelfork_daemon.routes._updates import StoreUpdate

_MS_PER_SECOND: Final = 1000
# Outages of the store are short, and rejected calls add load.
_MAX_DELAY_MS: Final = 800.0
_BACKOFF: Final = Backoff(
    base_ms=STORE_RETRY_DELAY_MS,
    cap_ms=_MAX_DELAY_MS,
)
# Jitter of the watch duration. Every daemon receives an update at the same
# time, and without jitter their next watches would expire together.
_MIN_WAIT_RATIO: Final = 0.9


@attrs.define(kw_only=True)
class StoreFollower:
    """Lists the store once, then watches for updates."""

    _store: Store
    _availability: StoreAvailability
    _applier: UpdateApplier
    _polling: StorePolling
    _rng: random.Random
    _cancellable_call: CancellableCall[Any] = attrs.field(
        factory=CancellableCall
    )
    _revision: int | None = None
    _failures: int = 0

    @property
    def polling(self) -> StorePolling:
        """The timeouts and delays of the calls of the store."""
        return self._polling

    def run(self) -> None:
        """Synchronise with the store until the process exits."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            wait_ms = self.step()
            eventlet.sleep(wait_ms / _MS_PER_SECOND)

    def step(self) -> float:
        """Make one call of the store.

        Returns:
            Delay in ms before the next call.
        """
        result = self._cancellable_call.run(self._call_store)
        if result is None:
            return 0
        if not is_successful(result):
            self._failures += 1
            self._availability.record_failure(self._next_call, result.failure())
            return _BACKOFF.delay_ms(self._failures, self._rng)
        self._failures = 0
        self._availability.record_response()
        return _apply_response(result.unwrap(), self)

    def abandon_call(self) -> None:
        """Abandon the pending call after an outage of the store.

        The store may have lost the call, in which case no response arrives.
        """
        self._cancellable_call.cancel()

    def apply_updates(self, updates: Iterable[StoreUpdate]) -> None:
        """Apply updates from the store."""
        self._applier.apply(updates)

    def apply_listing(self, listing: Listing) -> None:
        """Replace the known entries by a listing."""
        data_age_ms = self._availability.data_age_ms
        self._availability.record_update()
        self._applier.apply_listing(listing.updates, data_age_ms)
        self._revision = listing.revision

    def apply_changes(self, changes: UpdateBatch) -> None:
        """Apply the response of a watch of the store."""
        self._availability.record_update()
        self.apply_updates(changes.updates)
        self._revision = changes.revision

    def discard_revision(self) -> None:
        """Discard the revision, so that the next step lists the store."""
        self._revision = None

    @property
    def _next_call(self) -> StoreCall:
        """The kind of the next call."""
        if self._revision is None:
            return StoreCall.LISTING
        return StoreCall.CHANGES

    def _call_store(
        self,
    ) -> Result[Listing | UpdateBatch | HistoryCompacted, Failure]:
        if self._revision is None:
            return self._store.list_all(
                self._polling.listing_timeout_ms(self._failures)
            )
        timeouts = self._polling.watch_timeouts(
            self._availability.data_age_ms, self._failures
        )
        wait_ms = timeouts.wait_ms * self._rng.uniform(_MIN_WAIT_RATIO, 1)
        jittered = attrs.evolve(timeouts, wait_ms=wait_ms)
        return self._store.watch(self._revision, jittered)


def store_follower(
    store: Store,
    availability: StoreAvailability,
    applier: UpdateApplier,
    polling: StorePolling,
    rng: random.Random,
) -> StoreFollower:
    """Create a follower that calls again when the store is available."""
    follower = StoreFollower(
        store=store,
        availability=availability,
        applier=applier,
        polling=polling,
        rng=rng,
    )
    availability.add_listener(follower.abandon_call)
    return follower


@functools.singledispatch
def _apply_response(response: Any, follower: StoreFollower) -> float:
    """Apply a response and return the delay in ms before the next call."""
    raise TypeError(f'unknown type of store response: {response!r}')


@_apply_response.register
def _apply_listing(response: Listing, follower: StoreFollower) -> float:
    follower.apply_listing(response)
    return 0


@_apply_response.register
def _apply_changes(response: UpdateBatch, follower: StoreFollower) -> float:
    follower.apply_changes(response)
    return follower.polling.batch_delay_ms if response.updates else 0


@_apply_response.register
def _discard_history(
    response: HistoryCompacted, follower: StoreFollower
) -> float:
    follower.discard_revision()
    return 0
