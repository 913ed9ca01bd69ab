"""Network time between callers and the daemon.

Guards against answers to distant callers that leave too late, and against
failures where the kernel does not tell the round trip.
"""

from collections.abc import Iterator
from typing import Any

import eventlet
import pytest
from eventlet.green import socket

from fennelfork_daemon.routes._caller_way import caller_way_ms, unread_ms

_WAIT_S = 0.4


class TestCallerWay:
    """A kept and a new connection, and a socket without the measurement."""

    @pytest.fixture
    def listener(self) -> Iterator[Any]:
        """Listen on loopback."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            yield listener

    @pytest.fixture
    def caller(self, listener: Any) -> Iterator[Any]:
        """Connect to the listener."""
        with socket.create_connection(listener.getsockname()) as connection:
            yield connection

    @pytest.fixture
    def accepted(self, listener: Any, caller: Any) -> Iterator[Any]:
        """Accept the connection of the caller."""
        connection, _address = listener.accept()
        with connection:
            yield connection

    def test_new_connection(self, accepted: Any) -> None:
        """The handshake of a new connection costs one more round trip."""
        kept_ms = caller_way_ms(accepted, is_new=False)
        assert 0 < kept_ms < 50
        assert caller_way_ms(accepted, is_new=True) == 2 * kept_ms

    def test_unread(self, accepted: Any, caller: Any) -> None:
        """Bytes that waited have been there since their arrival."""
        caller.sendall(b'7')
        eventlet.sleep(_WAIT_S)
        accepted.recv(1)
        assert 0.8 * _WAIT_S <= unread_ms(accepted) / 1000 <= 3 * _WAIT_S
        caller.sendall(b'8')
        accepted.recv(1)
        assert unread_ms(accepted) / 1000 < _WAIT_S / 2

    def test_unknown(self) -> None:
        """Without a measurement, no time is assumed."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unconnected:
            assert caller_way_ms(unconnected, is_new=True) == 0
            assert unread_ms(unconnected) == 0
