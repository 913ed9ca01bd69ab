"""How old what a daemon knows of the store may become.

Seen: a watch that the store had forgotten was waited for, up to half a minute,
and the daemon served what had been replaced. A call that waits tells nothing, so
the time that it may wait has to come out of the age that is allowed.
"""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    STORE_ANSWER_MS,
    STORE_RETRY_MS,
    FleetSize,
    StorePace,
    store_pace,
)

# A silence that outlasts any outage so far: a day of failures, one a second.
_A_DAY = 86_400


class TestWatch:
    """How long the store may wait for changes."""

    @pytest.mark.parametrize('daemons', [1, 9, 67, 460])
    @pytest.mark.parametrize('in_force_ms', [3000, 5000, 7000])
    def test_lost_answer(self, daemons: int, in_force_ms: float) -> None:
        """What a lost answer told comes with the next, and in time."""
        pace = _pace(daemons, in_force_ms)
        noticed_ms = pace.gather_ms + pace.watch_ms(0) + STORE_ANSWER_MS
        told_ms = noticed_ms + STORE_RETRY_MS + STORE_ANSWER_MS
        assert told_ms < in_force_ms

    @pytest.mark.parametrize(
        ('daemons', 'in_force_ms', 'least_ms'),
        [(9, 3000, 1100), (67, 5000, 2400), (460, 7000, 4400)],
    )
    def test_few_calls(
        self,
        daemons: int,
        in_force_ms: float,
        least_ms: float,
    ) -> None:
        """No more calls than that needs: 105 a second of 460 daemons."""
        assert _pace(daemons, in_force_ms).watch_ms(0) >= least_ms

    def test_bound_that_cannot_be_held(self) -> None:
        """The store is not asked without a pause, whatever is wanted."""
        assert _pace(9, 100).watch_ms(0) == 500

    @pytest.mark.parametrize('failures', [1, 5, _A_DAY])
    def test_after_a_failure(self, failures: int) -> None:
        """The next call says at once whether the store is back."""
        assert _pace(9, 3000).watch_ms(failures) <= 100


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
