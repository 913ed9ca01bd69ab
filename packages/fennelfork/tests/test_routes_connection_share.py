"""How many connections to a server a daemon may open."""

import pytest

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import ConnectionShares, FleetSize, Service

_SETTLED_MS = 3000


class TestConnectionShares:
    """An equal part for each daemon, also of those not seen yet."""

    def setup_method(self) -> None:
        """Begin with a daemon that has just started."""
        self.time = ManualTime()
        clock = manual_clock(self.time)
        self.fleet = FleetSize(clock=clock, window_ms=10_000)
        self.shares = ConnectionShares(
            fleet=self.fleet,
            services={'archive': Service(name='archive', connections=40)},
        )

    def test_alone_at_first(self) -> None:
        """After a loss of all power the others are not back yet."""
        self.fleet.note(1)
        assert self.shares.of('archive') == 4

    def test_alone_for_a_while(self) -> None:
        """Nobody came: the whole limit is this daemon's own."""
        self.fleet.note(1)
        self.time.advance(_SETTLED_MS)
        assert self.shares.of('archive') == 40

    @pytest.mark.parametrize(('daemons', 'share'), [(5, 8), (9, 4), (70, 2)])
    def test_equal_parts(self, daemons: int, share: int) -> None:
        """Each has its part, and never too few to work."""
        self.fleet.note(daemons)
        self.time.advance(_SETTLED_MS)
        assert self.shares.of('archive') == share

    def test_more_than_assumed(self) -> None:
        """A fleet that is seen as large counts as it is."""
        self.fleet.note(20)
        assert self.shares.of('archive') == 2
