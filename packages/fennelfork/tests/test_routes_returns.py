"""Return times of refused callers.

Guards against a second wave: callers that were refused together return
together and are refused again, although there was room in between.
"""

import pytest
from core_builders_routes import route

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import ConcurrencyLimits

_REFUSED = 60


def _overloaded_limits(in_flight: int, ended: int) -> ConcurrencyLimits:
    """Return limits that served requests for a second with a steady throughput."""
    time = ManualTime()
    limits = ConcurrencyLimits(clock=manual_clock(time))
    for _ in range(in_flight):
        limits.try_admit(route())
    for _ in range(ended):
        limits.try_admit(route())
        time.advance(1000 / ended)
        limits.release(route())
    return limits


def _return_times(limits: ConcurrencyLimits, left_ms: float) -> list[int]:
    return sorted(
        limits.record_refusal(route(), f'r-{number}', left_ms)
        for number in range(_REFUSED)
    )


class TestRefusal:
    """A burst of 60 requests that finds 20 in flight and 100 a second."""

    def test_spread(self) -> None:
        """No tenth of a second gets twice its share of the returns."""
        times = _return_times(_overloaded_limits(20, 100), 15_000)
        assert times[0] < 100
        assert 400 < times[-1] < 1200
        for start in range(0, 1200, 100):
            count = sum(start <= at_ms < start + 100 for at_ms in times)
            assert count <= 2 * 100 * 100 / 1000

    @pytest.mark.parametrize('left_ms', [500, 810, 3000])
    def test_within_what_a_caller_waits(self, left_ms: float) -> None:
        """A caller with little time is not told to return too late."""
        times = _return_times(_overloaded_limits(20, 100), left_ms)
        assert max(times) <= left_ms / 3
        assert len(set(times)) > _REFUSED / 2

    def test_no_room_in_time(self) -> None:
        """Without room in time, callers stay away as long as they can."""
        times = _return_times(_overloaded_limits(20, 1), 600)
        assert set(times) == {200}
