"""Synchronises the blackboard of a daemon with the store.

Few daemons of a data centre watch the store and pass on its updates to the
others, so the number of calls does not grow with the fleet.
"""

import functools
import random
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
from fennelfork_daemon.routes._relay_reader import RelayReader
from fennelfork_daemon.routes._store_copy import StoreCopy

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
# Time for daemons that start together to register, so that one watch returns
# all registrations.
_START_DELAY_MS: Final = 1000.0


@attrs.define(kw_only=True)
class StoreFollower:
    """Lists the store once, then reads updates from it or from a relay.

    Attributes:
        store_copy: copy of the store that this daemon keeps up to date.
    """

    store_copy: StoreCopy
    _store: Store
    _relays: RelayReader
    _availability: StoreAvailability
    _polling: StorePolling
    _rng: random.Random
    _cancellable_call: CancellableCall[Any] = attrs.field(
        factory=CancellableCall
    )
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
        """Make one call of the store or of a relay.

        Returns:
            Delay in ms before the next call.
        """
        era = self._store.era.number
        delay_ms = self._read_updates()
        if era in {None, self._store.era.number}:
            return delay_ms
        # All daemons learn at the same time that the store was restored.
        return self._rng.uniform(0, self._polling.spread_ms)

    def abandon_call(self) -> None:
        """Abandon the pending call after an outage of the store.

        The store may have lost the call, in which case no response arrives.
        """
        self._cancellable_call.cancel()

    def discard_history(self) -> None:
        """Abandon the pending call and list the store next."""
        self.store_copy.discard_history()
        self.abandon_call()

    def apply_listing(self, listing: Listing) -> float:
        """Apply a listing and return the delay in ms before the next call."""
        is_first = not self.store_copy.has_listed
        self.store_copy.apply_listing(listing)
        if is_first and not self._relays.sources.knows_data_centre:
            return _START_DELAY_MS
        return 0

    def apply_changes(self, changes: UpdateBatch) -> float:
        """Apply the response of a watch and return the batch delay in ms."""
        self.store_copy.apply_changes(changes)
        if not changes.updates:
            return 0
        if self._relays.sources.reads_for_data_centre:
            return self._polling.reader_batch_delay_ms
        return self._polling.batch_delay_ms

    @property
    def _next_call(self) -> StoreCall:
        """The kind of the next call."""
        if self.store_copy.revision is None:
            return StoreCall.LISTING
        return StoreCall.CHANGES

    def _read_updates(self) -> float:
        """Call the store or a relay and return the delay in ms."""
        needs_listing = self.store_copy.revision is None
        relay = None if needs_listing else self._relays.sources.next_relay()
        if relay is None:
            self._relays.reporter.update_source('the store')
            return self._read_store()
        self._relays.reporter.update_source(relay.name)
        result = self._cancellable_call.run(lambda: self._relays.fetch(relay))
        return 0 if result is None else self._relays.apply(relay, result)

    def _read_store(self) -> float:
        """Make one call of the store and return the delay in ms."""
        result = self._cancellable_call.run(self._call_store)
        if result is None:
            return 0
        self.store_copy.relay.is_connected = is_successful(result)
        if not is_successful(result):
            self._failures += 1
            self._availability.record_failure(self._next_call, result.failure())
            return _BACKOFF.delay_ms(self._failures, self._rng)
        self._failures = 0
        self._availability.record_response()
        return _apply_response(result.unwrap(), self)

    def _call_store(
        self,
    ) -> Result[Listing | UpdateBatch | HistoryCompacted, Failure]:
        revision = self.store_copy.revision
        if revision is None:
            # A watch makes up for what a stale listing lacks, unless the
            # store has compacted those updates.
            return self._store.list_all(
                self._polling.listing_timeout_ms(self._failures),
                may_be_stale=not self.store_copy.has_listed,
            )
        timeouts = self._polling.watch_timeouts(
            self._availability.data_age_ms, self._failures
        )
        wait_ms = timeouts.wait_ms * self._rng.uniform(_MIN_WAIT_RATIO, 1)
        jittered = attrs.evolve(timeouts, wait_ms=wait_ms)
        return self._store.watch(revision, jittered)


def store_follower(
    store: Store,
    relays: RelayReader,
    copy: StoreCopy,
    availability: StoreAvailability,
    polling: StorePolling,
    rng: random.Random,
) -> StoreFollower:
    """Create a follower that calls again when the store is available."""
    follower = StoreFollower(
        store_copy=copy,
        store=store,
        relays=relays,
        availability=availability,
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
    return follower.apply_listing(response)


@_apply_response.register
def _apply_changes(response: UpdateBatch, follower: StoreFollower) -> float:
    return follower.apply_changes(response)


@_apply_response.register
def _discard_history(
    response: HistoryCompacted, follower: StoreFollower
) -> float:
    follower.store_copy.revision = None
    return 0
