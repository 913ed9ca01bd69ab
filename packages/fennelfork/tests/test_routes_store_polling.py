"""How old what a daemon knows of the store may become.

Seen: a watch that the store had forgotten was waited for, up to half a minute,
and the daemon served what had been replaced. A call that waits tells nothing, so
the time that it may wait has to come out of the age that is allowed.
"""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    STORE_RETRY_MS,
    FleetSize,
    StorePace,
    store_pace,
)

# A silence that outlasts any outage so far: a day of failures, one a second.
_A_DAY = 86_400
# Of a store that is seventy times slower than usual.
_SLOW_ANSWER_MS = 300


class TestWatch:
    """How long the store may wait for changes."""

    @pytest.mark.parametrize('age_ms', [0, 300, 1000])
    @pytest.mark.parametrize('in_force_ms', [3000, 5000, 7000])
    def test_lost_answer(self, age_ms: float, in_force_ms: float) -> None:
        """What a lost answer told comes with the next, and in time."""
        pace = _pace(9, in_force_ms)
        first = pace.watch(age_ms, 0)
        noticed_ms = age_ms + first.wait_ms + first.answer_ms
        told_ms = noticed_ms + STORE_RETRY_MS + _SLOW_ANSWER_MS
        assert told_ms < in_force_ms

    @pytest.mark.parametrize(
        ('in_force_ms', 'least_ms'),
        [(3000, 2100), (5000, 4100), (7000, 6100)],
    )
    def test_few_calls(self, in_force_ms: float, least_ms: float) -> None:
        """No more calls than that needs: 75 a second of 460 daemons in 7 s."""
        assert _pace(9, in_force_ms).watch(0, 0).wait_ms >= least_ms

    @pytest.mark.parametrize(
        ('age_ms', 'in_force_ms'),
        [(0, 100), (60_000, 3000)],
    )
    def test_bound_that_cannot_be_held(
        self,
        age_ms: float,
        in_force_ms: float,
    ) -> None:
        """The store is not asked without a pause, whatever is wanted."""
        assert _pace(9, in_force_ms).watch(age_ms, 0).wait_ms == 500

    @pytest.mark.parametrize('failures', [1, 5, _A_DAY])
    def test_after_a_failure(self, failures: int) -> None:
        """The next call says at once whether the store is back."""
        times = _pace(9, 3000).watch(0, failures)
        assert times.wait_ms <= 100
        assert 2 * _SLOW_ANSWER_MS <= times.answer_ms <= 1200


class TestListing:
    """How long to wait for the list of everything."""

    def test_long_outage(self) -> None:
        """However long the store is away, its return is soon found out."""
        pace = _pace(9, 3000)
        waits = [pace.listing_ms(failures) for failures in (0, 1, 2, _A_DAY)]
        assert waits == [400, 800, 1600, 1600]


def _pace(daemons: int, in_force_ms: float) -> StorePace:
    fleet = FleetSize(clock=manual_clock(ManualTime()), window_ms=10_000)
    fleet.note(daemons)
    return store_pace(fleet, in_force_ms)
