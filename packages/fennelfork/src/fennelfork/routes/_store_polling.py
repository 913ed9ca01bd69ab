"""Timeouts and delays of the calls to the platform's key-value store."""

from typing import Final

import attrs

from fennelfork.routes._fleet_maximum import FleetMaximum

# Initial timeout of a response, which doubles with each failed call. The store
# responds within 10 ms, within 40 ms to another region, and within 300 ms when
# it is seventy times slower; later the call or the response is lost.
_RESPONSE_MS: Final = 300.0
# Minimum delay before a failed call is retried.
STORE_RETRY_DELAY_MS: Final = 150.0
# Updates within the batch delay are fetched by one call. The delay of the daemon
# that reads the store for its data centre is a small part of the maximum age.
# Many other daemons may read the store at the same time, so their delay grows
# with the fleet.
_READER_BATCH_RATIO: Final = 1 / 8
_BATCH_DELAY_PER_DAEMON_MS: Final = 15.0
_MIN_BATCH_DELAY_MS: Final = 300.0
_MAX_BATCH_DELAY_MS: Final = 1000.0
# Minimum duration of a watch, which bounds the rate of calls.
_MIN_WATCH_MS: Final = 500.0
# Duration of a watch after a failed call: short, because the response shows
# whether the store is available again.
_RETRY_WATCH_MS: Final = 50.0
# Time for a daemon to be scheduled and to apply the updates.
_MARGIN_MS: Final = 100.0
# Initial timeout of a listing. A daemon that starts delays its callers until
# the first listing has arrived.
INITIAL_LISTING_TIMEOUT_MS: Final = 400.0
# Duration of a request for updates to another daemon, relative to the maximum
# age. After two lost requests, a call of the store still returns in time.
_RELAY_WAIT_RATIO: Final = 1 / 6
_MAX_RELAY_WAIT_MS: Final = 1000.0
# Additional time for the response of a busy daemon.
_RELAY_RESPONSE_MS: Final = 500.0
# Bound on the growth of the timeouts: a factor of four suffices for a store
# that is 300 times slower than usual.
_MAX_DOUBLINGS: Final = 2


@attrs.frozen(kw_only=True)
class WatchTimeouts:
    """Timeouts of one watch.

    Attributes:
        wait_ms: time that the store waits for updates before it returns an
            empty response.
        response_ms: additional time for the response to arrive.
    """

    wait_ms: float
    response_ms: float


@attrs.frozen(kw_only=True)
class StorePolling:
    """Bounds the age of the data that a daemon has read from the store.

    A pending watch whose call or response was lost looks like a watch without
    updates. A watch therefore lasts no longer than the maximum age allows,
    less the time to detect the loss and to retry the call.
    """

    _fleet_size: FleetMaximum
    _max_age_ms: float

    @property
    def batch_delay_ms(self) -> float:
        """Delay between a first update and the call that fetches updates."""
        return max(_MIN_BATCH_DELAY_MS, self.spread_ms)

    @property
    def spread_ms(self) -> float:
        """Time over which the daemons spread calls that are not urgent."""
        wanted_ms = self._fleet_size.maximum * _BATCH_DELAY_PER_DAEMON_MS
        return min(_MAX_BATCH_DELAY_MS, wanted_ms)

    @property
    def reader_batch_delay_ms(self) -> float:
        """Batch delay of a daemon that reads for its data centre."""
        wanted_ms = self._max_age_ms * _READER_BATCH_RATIO
        return min(_MAX_BATCH_DELAY_MS, max(_MIN_BATCH_DELAY_MS, wanted_ms))

    @property
    def max_age_ms(self) -> float:
        """Maximum age of data that is used without looking for newer data."""
        return self._max_age_ms

    @property
    def extra_batch_delay_ms(self) -> float:
        """Longest batch delay of any daemon in excess of the minimum."""
        longest_ms = max(self.batch_delay_ms, self.reader_batch_delay_ms)
        return longest_ms - _MIN_BATCH_DELAY_MS

    def watch_timeouts(self, age_ms: float, failures: int) -> WatchTimeouts:
        """Return the timeouts of the next watch.

        Args:
            age_ms: age of the data that the daemon has read.
            failures: number of failed calls since the last response.
        """
        response_ms = _RESPONSE_MS * _backoff_factor(failures)
        if failures:
            return WatchTimeouts(
                wait_ms=_RETRY_WATCH_MS, response_ms=response_ms
            )
        retry_ms = response_ms + STORE_RETRY_DELAY_MS + response_ms
        remaining_ms = self._max_age_ms - age_ms - retry_ms - _MARGIN_MS
        wait_ms = max(_MIN_WATCH_MS, remaining_ms)
        return WatchTimeouts(wait_ms=wait_ms, response_ms=response_ms)

    def relay_timeouts(self) -> WatchTimeouts:
        """Return the timeouts of a request for updates to another daemon."""
        wait_ms = min(_MAX_RELAY_WAIT_MS, self._max_age_ms * _RELAY_WAIT_RATIO)
        return WatchTimeouts(wait_ms=wait_ms, response_ms=_RELAY_RESPONSE_MS)

    def listing_timeout_ms(self, failures: int) -> float:
        """Return the timeout for the first bytes of a listing.

        Args:
            failures: number of failed calls since the last response.
        """
        return INITIAL_LISTING_TIMEOUT_MS * _backoff_factor(failures)


def store_polling(fleet_size: FleetMaximum, max_age_ms: float) -> StorePolling:
    """Create the timeouts and delays of the store calls of a daemon.

    Args:
        fleet: number of daemons that poll the store.
        max_age_ms: maximum time between a write to the store and its
            application by every daemon.
    """
    return StorePolling(fleet_size=fleet_size, max_age_ms=max_age_ms)


def _backoff_factor(failures: int) -> int:
    """Return the factor of timeouts that double with each failure."""
    return 1 << min(failures, _MAX_DOUBLINGS)
