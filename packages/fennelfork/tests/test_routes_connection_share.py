"""Tests of the connection limit of one daemon."""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import ConnectionShares, FleetMaximum, Service

_SETTLING_MS = 3000


class TestConnectionShares:
    """Every daemon gets an equal share, also before all have registered."""

    def setup_method(self) -> None:
        """Create the shares of a daemon that has just started."""
        self.time = ManualTime()
        clock = manual_clock(self.time)
        self.limit_divisor = FleetMaximum(clock=clock, window_ms=10_000)
        self.shares = ConnectionShares(
            limit_divisor=self.limit_divisor,
            services={'archive': Service(name='archive', connections=40)},
        )

    def test_unsettled_fleet(self) -> None:
        """After a restart of all daemons, others may not have registered yet."""
        self.limit_divisor.record(1)
        assert self.shares.connection_limit_for('archive') == 4

    def test_single_daemon(self) -> None:
        """A daemon that stays alone gets the whole limit."""
        self.limit_divisor.record(1)
        self.time.advance(_SETTLING_MS)
        assert self.shares.connection_limit_for('archive') == 40

    @pytest.mark.parametrize(('daemons', 'share'), [(5, 8), (9, 4), (70, 2)])
    def test_equal_shares(self, daemons: int, share: int) -> None:
        """The limit is divided equally, down to a minimum."""
        self.limit_divisor.record(daemons)
        self.time.advance(_SETTLING_MS)
        assert self.shares.connection_limit_for('archive') == share

    def test_large_unsettled_fleet(self) -> None:
        """A fleet above the assumed minimum counts with its actual size."""
        self.limit_divisor.record(20)
        assert self.shares.connection_limit_for('archive') == 2
