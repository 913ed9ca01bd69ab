"""Tests of the listening sockets of a daemon."""

import attrs
from daemon_builders_product import settings_document

from fennelfork_daemon._address import address
from fennelfork_daemon._listeners import open_listeners
from fennelfork_daemon.http._wsgi_server import listening_address, open_listener
from fennelfork_daemon.settings._settings import read_settings

_LISTEN = read_settings(settings_document()).unwrap().listen


class TestOpenListeners:
    """Opening of all three sockets, or one error line."""

    def test_opens_three(self) -> None:
        """Each listener gets a different free port."""
        opened = open_listeners(_LISTEN).unwrap()
        sockets = (opened.caller, opened.operator, opened.peer)
        ports = {listening_address(sock).port for sock in sockets}
        for sock in sockets:
            sock.close()
        assert len(ports) == 3

    def test_port_in_use(self) -> None:
        """The error names a port in use, and other sockets are closed."""
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
        """The error names an IP address of another machine."""
        wanted = attrs.evolve(_LISTEN, caller=address('192.0.2.1:80'))
        reason = 'this machine does not have that IP number'
        assert reason in open_listeners(wanted).failure()
