"""Tests that lost responses of the store do not make a daemon's data stale.

A watch whose response is lost has to time out early enough for a retry to
arrive within the maximum age of the data.
"""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    STORE_RETRY_DELAY_MS,
    FleetMaximum,
    StorePolling,
    store_polling,
)

# Number of failures during an outage of a day, one per second.
_FAILURES_OF_A_DAY = 86_400
# Response time of a store that is much slower than usual.
_SLOW_RESPONSE_MS = 300


class TestWatch:
    """Timeouts of a watch."""

    @pytest.mark.parametrize('age_ms', [0, 300, 1000])
    @pytest.mark.parametrize('max_age_ms', [3000, 5000, 7000])
    def test_lost_response(self, age_ms: float, max_age_ms: float) -> None:
        """After a lost response, the retry arrives within the maximum age."""
        polling = _polling(9, max_age_ms)
        first = polling.watch_timeouts(age_ms, 0)
        timed_out_ms = age_ms + first.wait_ms + first.response_ms
        updated_ms = timed_out_ms + STORE_RETRY_DELAY_MS + _SLOW_RESPONSE_MS
        assert updated_ms < max_age_ms

    @pytest.mark.parametrize(
        ('max_age_ms', 'min_wait_ms'),
        [(3000, 2100), (5000, 4100), (7000, 6100)],
    )
    def test_few_calls(self, max_age_ms: float, min_wait_ms: float) -> None:
        """A watch is long enough to bound the rate of calls."""
        assert (
            _polling(9, max_age_ms).watch_timeouts(0, 0).wait_ms >= min_wait_ms
        )

    @pytest.mark.parametrize(
        ('age_ms', 'max_age_ms'),
        [(0, 100), (60_000, 3000)],
    )
    def test_unattainable_max_age(
        self,
        age_ms: float,
        max_age_ms: float,
    ) -> None:
        """A watch has a minimum duration even if the data is too old."""
        assert _polling(9, max_age_ms).watch_timeouts(age_ms, 0).wait_ms == 500

    @pytest.mark.parametrize('max_age_ms', [3000, 5000, 7000])
    def test_lost_relays(self, max_age_ms: float) -> None:
        """After two lost requests to relays, the store responds in time."""
        timeouts = _polling(9, max_age_ms).relay_timeouts()
        lost_ms = 2 * (timeouts.wait_ms + timeouts.response_ms)
        assert lost_ms + 2 * _SLOW_RESPONSE_MS < max_age_ms

    @pytest.mark.parametrize('max_age_ms', [3000, 5000, 7000])
    @pytest.mark.parametrize('lost_relays', [0, 1])
    def test_reader_without_store(
        self, max_age_ms: float, lost_relays: int
    ) -> None:
        """Daemons behind a reader that lost its watch are up to date in time.

        They hear of it at the end of their request to the reader, may lose a
        request to a second relay, and call the store then.
        """
        polling = _polling(9, max_age_ms)
        watch = polling.watch_timeouts(0, 0)
        relay = polling.relay_timeouts()
        told_ms = watch.wait_ms + watch.response_ms + relay.wait_ms
        lost_ms = lost_relays * (relay.wait_ms + relay.response_ms)
        assert told_ms + lost_ms + _SLOW_RESPONSE_MS < max_age_ms

    @pytest.mark.parametrize(
        ('max_age_ms', 'delay_ms'),
        [(100, 300), (3000, 375), (5000, 625), (60_000, 1000)],
    )
    def test_reader_batch(self, max_age_ms: float, delay_ms: float) -> None:
        """While entries change all the time, few calls fetch all updates."""
        assert _polling(9, max_age_ms).reader_batch_delay_ms == delay_ms

    @pytest.mark.parametrize('max_age_ms', [3000, 5000, 7000])
    def test_batch_and_lost_response(self, max_age_ms: float) -> None:
        """An update within a batch whose response is lost arrives in time."""
        polling = _polling(9, max_age_ms)
        delay_ms = polling.reader_batch_delay_ms
        lost = polling.watch_timeouts(delay_ms, 0)
        retried_ms = delay_ms + lost.wait_ms + lost.response_ms
        updated_ms = retried_ms + STORE_RETRY_DELAY_MS + _SLOW_RESPONSE_MS
        assert updated_ms < max_age_ms

    @pytest.mark.parametrize('failures', [1, 5, _FAILURES_OF_A_DAY])
    def test_after_failure(self, failures: int) -> None:
        """After a failed call, a short watch detects that the store is back."""
        timeouts = _polling(9, 3000).watch_timeouts(0, failures)
        assert timeouts.wait_ms <= 100
        assert 2 * _SLOW_RESPONSE_MS <= timeouts.response_ms <= 1200


class TestListing:
    """Timeouts of a listing."""

    def test_long_outage(self) -> None:
        """The timeout stays bounded however long the store is unavailable."""
        polling = _polling(9, 3000)
        timeouts = [
            polling.listing_timeout_ms(failures)
            for failures in (0, 1, 2, _FAILURES_OF_A_DAY)
        ]
        assert timeouts == [400, 800, 1600, 1600]


def _polling(daemons: int, max_age_ms: float) -> StorePolling:
    fleet = FleetMaximum(clock=manual_clock(ManualTime()), window_ms=10_000)
    fleet.record(daemons)
    return store_polling(fleet, max_age_ms)
