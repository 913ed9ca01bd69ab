"""Servers that refuse as draining are left out for a while."""

import attrs

from fennelfork import ManualTime, manual_clock
from fennelfork.config import Server
from fennelfork.home import draining_servers
from fennelfork.once import NamedServer

_SERVER = Server(
    address='127.0.0.1:1',
    data_centre='dc-1',
    slots=1,
    connections=1,
    connect_ms=1,
)
_BOTH = (
    NamedServer(name='a', server=_SERVER),
    NamedServer(name='b', server=attrs.evolve(_SERVER, address='127.0.0.1:2')),
)


class TestDrainingServers:
    """The memory of refusals."""

    def test_left_out_until_later(self) -> None:
        """A server that refused is out for 30 s, and no other is."""
        time = ManualTime()
        draining = draining_servers(manual_clock(time))
        draining.record_refusal('127.0.0.1:1')
        time.advance(29_999)
        assert draining.exclude_draining(_BOTH) == _BOTH[1:]
        time.advance(1)
        assert draining.exclude_draining(_BOTH) == _BOTH

    def test_refused_again(self) -> None:
        """A second refusal begins the time anew."""
        time = ManualTime()
        draining = draining_servers(manual_clock(time))
        draining.record_refusal('127.0.0.1:1')
        time.advance(20_000)
        draining.record_refusal('127.0.0.1:1')
        time.advance(20_000)
        assert draining.exclude_draining(_BOTH) == _BOTH[1:]
