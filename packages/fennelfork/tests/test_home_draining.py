"""Exclusion of servers that refused requests as draining."""

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
    """Expiry of the exclusion."""

    def test_exclusion_expires(self) -> None:
        """Only the server that refused is excluded, for 30 s."""
        time = ManualTime()
        draining = draining_servers(manual_clock(time))
        draining.record_refusal('127.0.0.1:1')
        time.advance(29_999)
        assert draining.exclude_draining(_BOTH) == _BOTH[1:]
        time.advance(1)
        assert draining.exclude_draining(_BOTH) == _BOTH

    def test_refusal_extends_exclusion(self) -> None:
        """A second refusal restarts the exclusion."""
        time = ManualTime()
        draining = draining_servers(manual_clock(time))
        draining.record_refusal('127.0.0.1:1')
        time.advance(20_000)
        draining.record_refusal('127.0.0.1:1')
        time.advance(20_000)
        assert draining.exclude_draining(_BOTH) == _BOTH[1:]
