"""Exclusion of servers that refused requests as draining."""

import attrs

from fennelfork.config import Server
from fennelfork.home import ServerKey, draining_servers
from fennelfork.once import NamedServer

_B_ADDRESS = '127.0.0.1:2'
_SERVER = Server(
    address='127.0.0.1:1',
    data_centre='dc-1',
    slots=1,
    connections=1,
    connect_ms=1,
)
_BOTH = (
    NamedServer(name='a', server=_SERVER),
    NamedServer(name='b', server=attrs.evolve(_SERVER, address=_B_ADDRESS)),
)


_REFUSING = ServerKey(name='a', address='127.0.0.1:1')


class TestDrainingServers:
    """Guard against new work for a server that refused a request."""

    def test_excludes_only_the_server_that_refused(self) -> None:
        """The other server is used."""
        draining = draining_servers()
        draining.record_refusal(_REFUSING)
        assert draining.exclude_draining(_BOTH) == _BOTH[1:]

    def test_exclusion_ends_with_the_drain(self) -> None:
        """Only evidence ends the exclusion, no matter how much time passes."""
        draining = draining_servers()
        drain = draining.record_refusal(_REFUSING)
        drain.record_report(draining=False)
        assert draining.exclude_draining(_BOTH) == _BOTH[1:]
        drain.record_process_ended()
        assert draining.exclude_draining(_BOTH) == _BOTH

    def test_refusals_share_one_state(self) -> None:
        """A server is monitored once; a refusal after its drain starts anew."""
        draining = draining_servers()
        first = draining.record_refusal(_REFUSING)
        assert draining.record_refusal(_REFUSING) is None
        first.record_process_ended()
        second = draining.record_refusal(_REFUSING)
        assert draining.is_tracked(_REFUSING, second)
        assert not draining.is_tracked(_REFUSING, first)
        assert draining.exclude_draining(_BOTH) == _BOTH[1:]

    def test_name_at_another_address_is_another_server(self) -> None:
        """A server that moved, or took over an address, is not excluded."""
        draining = draining_servers()
        draining.record_refusal(_REFUSING)
        draining.record_refusal(
            attrs.evolve(_REFUSING, name='c', address=_B_ADDRESS)
        )
        moved = attrs.evolve(_SERVER, address='127.0.0.1:3')
        other = (NamedServer(name='a', server=moved), _BOTH[1])
        assert draining.exclude_draining(other) == other

    def test_discarded_state_excludes_nothing(self) -> None:
        """A server that the configuration dropped may return."""
        draining = draining_servers()
        draining.record_refusal(_REFUSING)
        draining.discard(_REFUSING)
        assert draining.exclude_draining(_BOTH) == _BOTH
