"""Waits and call budgets towards the platform."""

import collections
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import ManualTime, manual_clock
from fennelfork.config import Backoff, token_bucket


class TestBackoff:
    """Waits after failures."""

    @given(st.integers(1, 10_000), st.integers())
    def test_stays_between_base_and_cap(self, failures: int, seed: int) -> None:
        """No number of failures leads outside the bounds."""
        backoff = Backoff(base_ms=100, cap_ms=5000)
        delay_ms = backoff.delay_ms(failures, random.Random(seed))
        assert 100 <= delay_ms <= 5000
        assert not backoff.delay_ms(0, random.Random(seed))

    def test_spreads_daemons_after_a_long_outage(self) -> None:
        """Of 460 daemons no tenth of the cap sees more than a quarter."""
        backoff = Backoff(base_ms=100, cap_ms=5000)
        waits = [backoff.delay_ms(20, random.Random(at)) for at in range(460)]
        counts = collections.Counter(int(delay_ms / 500) for delay_ms in waits)
        assert max(counts.values()) < 460 / 4


class TestCallBudget:
    """Calls allowed over time."""

    @given(st.lists(st.integers(0, 400), max_size=60))
    def test_never_exceeds_rate_and_burst(self, waits: list[int]) -> None:
        """Whatever the pattern of asking, burst plus rate bounds the calls."""
        manual = ManualTime()
        budget = token_bucket(manual_clock(manual), per_second=5, burst=3)
        taken = 0
        for wait_ms in waits:
            manual.advance(wait_ms)
            taken += budget.try_acquire()
            assert taken <= 3 + manual.at_ms * 5 / 1000

    def test_says_how_long_to_wait(self) -> None:
        """After the wait it named, an empty bucket gives a token again."""
        manual = ManualTime()
        budget = token_bucket(manual_clock(manual), per_second=4, burst=1)
        assert budget.try_acquire()
        assert not budget.try_acquire()
        manual.advance(budget.wait_ms())
        assert budget.try_acquire()

    @pytest.mark.parametrize(('rate', 'burst'), [(0, 1), (1, 0)])
    def test_refuses_what_never_lets_a_call_through(
        self,
        rate: float,
        burst: float,
    ) -> None:
        """A bucket that can never hold a token is a defect."""
        with pytest.raises(ValueError, match='no call fits'):
            token_bucket(manual_clock(ManualTime()), rate, burst)
