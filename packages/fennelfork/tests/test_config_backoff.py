"""Tests of backoff delays and of the token bucket."""

import collections
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import ManualTime, manual_clock
from fennelfork.config import Backoff, token_bucket


class TestBackoff:
    """Delays after failures."""

    @given(st.integers(1, 10_000), st.integers())
    def test_delay_is_between_base_and_cap(
        self, failures: int, seed: int
    ) -> None:
        """The delay stays within its bounds for any number of failures."""
        backoff = Backoff(base_ms=100, cap_ms=5000)
        delay_ms = backoff.delay_ms(failures, random.Random(seed))
        assert 100 <= delay_ms <= 5000
        assert not backoff.delay_ms(0, random.Random(seed))

    def test_delays_of_many_daemons_are_spread(self) -> None:
        """Guards against synchronised retries of 460 daemons."""
        backoff = Backoff(base_ms=100, cap_ms=5000)
        delays = [backoff.delay_ms(20, random.Random(at)) for at in range(460)]
        counts = collections.Counter(int(delay_ms / 500) for delay_ms in delays)
        assert max(counts.values()) < 460 / 4


class TestTokenBucket:
    """Operations allowed over time."""

    @given(st.lists(st.integers(0, 400), max_size=60))
    def test_operations_never_exceed_rate_and_burst(
        self, delays: list[int]
    ) -> None:
        """Burst plus rate bounds the operations for any arrival pattern."""
        manual = ManualTime()
        bucket = token_bucket(manual_clock(manual), per_second=5, burst=3)
        acquired = 0
        for wait_ms in delays:
            manual.advance(wait_ms)
            acquired += bucket.try_acquire()
            assert acquired <= 3 + manual.at_ms * 5 / 1000

    def test_token_is_available_after_the_returned_wait(self) -> None:
        """An empty bucket has a token after the wait that it returned."""
        manual = ManualTime()
        bucket = token_bucket(manual_clock(manual), per_second=4, burst=1)
        assert bucket.try_acquire()
        assert not bucket.try_acquire()
        manual.advance(bucket.wait_ms())
        assert bucket.try_acquire()

    @pytest.mark.parametrize(('rate', 'burst'), [(0, 1), (1, 0)])
    def test_bucket_that_never_holds_a_token_is_rejected(
        self,
        rate: float,
        burst: float,
    ) -> None:
        """A rate of zero or a burst below one raises an error."""
        with pytest.raises(ValueError, match='the rate must be positive'):
            token_bucket(manual_clock(ManualTime()), rate, burst)
