"""Largest recent size of the fleet.

Guards against a share of a daemon that has left and is used twice.
"""

from core_builders_routes import WINDOW_MS

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import FleetMaximum


class TestFleetMaximum:
    """The maximum of a window."""

    def test_share_of_departed_daemon(self) -> None:
        """The share of a departed daemon is redistributed after one window."""
        time = ManualTime(at_ms=WINDOW_MS)
        fleet = FleetMaximum(clock=manual_clock(time), window_ms=WINDOW_MS)
        fleet.record(4)
        time.advance(1)
        fleet.record(2)
        assert fleet.maximum == 4
        time.advance(WINDOW_MS)
        assert fleet.maximum == 2
