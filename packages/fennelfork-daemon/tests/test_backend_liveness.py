"""Whether a backend server whose connection ended is still there."""

import socket

from fennelfork_daemon._address import address
from fennelfork_daemon.backend._liveness import has_ended


class TestHasEnded:
    """Only a refusal says so."""

    def test_refuses(self) -> None:
        """Nobody listens where a process has ended."""
        with socket.socket() as bound:
            bound.bind(('127.0.0.1', 0))
            host, port = bound.getsockname()
            assert has_ended(address(f'{host}:{port}'))

    def test_listens(self) -> None:
        """A server that dropped one connection takes the next."""
        with socket.create_server(('127.0.0.1', 0)) as listening:
            host, port = listening.getsockname()
            assert not has_ended(address(f'{host}:{port}'))
