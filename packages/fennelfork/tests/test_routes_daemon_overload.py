"""Overload of a daemon.

Guards against a daemon that is overloaded without telling the others, and
against callers that move back and forth between two sets of daemons.
"""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import DaemonOverload


@pytest.fixture
def time() -> ManualTime:
    """Return the time of the daemon."""
    return ManualTime()


@pytest.fixture
def overload(time: ManualTime) -> DaemonOverload:
    """Return the state of a daemon without load."""
    return DaemonOverload(clock=manual_clock(time))


def _record(
    overload: DaemonOverload,
    time: ManualTime,
    seconds: int,
    busy_ratio: float,
    callers_ratio: float = 1,
) -> int:
    """Record two measurements a second; return the number of changes."""
    changes = 0
    for _ in range(2 * seconds):
        time.advance(500)
        changes += overload.record(busy_ratio, callers_ratio)
    return changes


class TestOverload:
    """Begin and end of an overload."""

    def test_short_peak(
        self, overload: DaemonOverload, time: ManualTime
    ) -> None:
        """Half a second of work is no overload."""
        overload.record(1, 1)
        assert not overload.is_active

    def test_burst(self, overload: DaemonOverload, time: ManualTime) -> None:
        """A daemon that works all the time is overloaded within 3 s."""
        _record(overload, time, 3, 1)
        assert overload.is_active

    def test_end(self, overload: DaemonOverload, time: ManualTime) -> None:
        """An overload ends when the load has fallen, but not at once."""
        _record(overload, time, 3, 1)
        _record(overload, time, 5, 0.1)
        assert overload.is_active
        _record(overload, time, 6, 0.1)
        assert not overload.is_active

    def test_others_serve_its_callers(
        self, overload: DaemonOverload, time: ManualTime
    ) -> None:
        """The overload lasts while the returning callers would renew it."""
        _record(overload, time, 3, 1)
        assert not _record(overload, time, 60, 0.1, callers_ratio=0.1)
        assert overload.is_active

    def test_few_changes(
        self, overload: DaemonOverload, time: ManualTime
    ) -> None:
        """A load that alternates each second changes the state rarely."""
        changes = sum(
            _record(overload, time, 1, busy_ratio)
            for _ in range(30)
            for busy_ratio in (1, 0.5)
        )
        assert changes <= 6
