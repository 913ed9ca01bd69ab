"""A reset is told from an orderly end, also where sockets are cooperative."""

import socket as plain_socket
import struct

import eventlet
import pytest
from eventlet.green import socket

from fennelfork_daemon._sockets import ConnectionBroken, reset_aware

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class TestResetAware:
    """Reads from a connection whose other end sent a piece and went away."""

    def setup_method(self) -> None:
        """Connect two cooperative sockets."""
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self.near = socket.create_connection(listener.getsockname())
        self.far = listener.accept()[0]
        listener.close()
        self.far.sendall(b'half')

    def test_orderly_end(self) -> None:
        """An end is an end."""
        self.far.close()
        aware = reset_aware(self.near)
        assert (aware.recv(9), aware.recv(9)) == (b'half', b'')

    def test_reset(self) -> None:
        """A reset after some bytes does not look like the end of them."""
        self.far.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        aware = reset_aware(self.near)
        assert aware.recv(9) == b'half'
        self.far.close()
        eventlet.sleep(0.05)
        with pytest.raises(ConnectionBroken):
            aware.recv(9)

    def test_stays_open_once_the_first_wrapper_is_gone(self) -> None:
        """The connection lives as long as the socket that is in use."""
        aware = reset_aware(self.near)
        self.near = None
        assert aware.recv(9) == b'half'
