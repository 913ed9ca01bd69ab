"""The listening sockets of a daemon."""

import attrs
from daemon_builders_product import settings_document

from fennelfork_daemon._address import address
from fennelfork_daemon._listeners import open_listeners
from fennelfork_daemon.http._wsgi_server import listening_address, open_listener
from fennelfork_daemon.settings._settings import read_settings

_LISTEN = read_settings(settings_document()).unwrap().listen


class TestOpenListeners:
    """All three sockets, or one line."""

    def test_opens_three(self) -> None:
        """Each face gets a port of its own from the system."""
        opened = open_listeners(_LISTEN).unwrap()
        sockets = (opened.caller, opened.operator, opened.peer)
        ports = {listening_address(found).port for found in sockets}
        for found in sockets:
            found.close()
        assert len(ports) == 3

    def test_port_in_use(self) -> None:
        """A taken port is named, and the others are closed again."""
        taken = open_listener(address('127.0.0.1:0'))
        free = open_listener(address('127.0.0.1:0'))
        wanted = attrs.evolve(
            _LISTEN,
            caller=listening_address(free),
            peer=listening_address(taken),
        )
        free.close()
        assert open_listeners(wanted).failure() == (
            f'listen.peer: cannot listen on {wanted.peer}: '
            'the address is already in use'
        )
        taken.close()
        open_listener(wanted.caller).close()

    def test_foreign_address(self) -> None:
        """An IP number of another machine is named."""
        wanted = attrs.evolve(_LISTEN, caller=address('192.0.2.1:80'))
        words = 'this machine does not have that IP number'
        assert words in open_listeners(wanted).failure()
