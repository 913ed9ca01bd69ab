"""Liveness check for a backend server after a lost connection."""

import socket

from fennelfork_daemon._address import address
from fennelfork_daemon.backend._liveness import has_server_crashed


class TestHasEnded:
    """Only a refused connection proves that a server has ended."""

    def test_refused_connection(self) -> None:
        """A port without a listener means that the server has ended."""
        with socket.socket() as bound:
            bound.bind(('127.0.0.1', 0))
            host, port = bound.getsockname()
            assert has_server_crashed(address(f'{host}:{port}'))

    def test_accepted_connection(self) -> None:
        """A server that accepts a connection has not ended."""
        with socket.create_server(('127.0.0.1', 0)) as listening:
            host, port = listening.getsockname()
            assert not has_server_crashed(address(f'{host}:{port}'))
