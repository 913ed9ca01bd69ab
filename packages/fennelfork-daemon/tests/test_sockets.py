"""Tests of reset detection on cooperative sockets."""

import socket as plain_socket
import struct

import eventlet
import pytest
from eventlet.green import socket

from fennelfork_daemon._sockets import ConnectionBroken, reset_aware

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class TestResetAware:
    """Reads after the remote end sent a part and disconnected."""

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
        """An orderly close reads as the end of the stream."""
        self.far.close()
        wrapper = reset_aware(self.near)
        assert (wrapper.recv(9), wrapper.recv(9)) == (b'half', b'')

    def test_reset(self) -> None:
        """A reset raises an error and does not read as end of the stream."""
        self.far.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        wrapper = reset_aware(self.near)
        assert wrapper.recv(9) == b'half'
        self.far.close()
        eventlet.sleep(0.05)
        with pytest.raises(ConnectionBroken):
            wrapper.recv(9)

    def test_stays_open_without_the_first_wrapper(self) -> None:
        """The connection stays open when the first socket is collected."""
        wrapper = reset_aware(self.near)
        self.near = None
        assert wrapper.recv(9) == b'half'
