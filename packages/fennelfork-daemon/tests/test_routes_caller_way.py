"""Network time between callers and the daemon.

Guards against answers to distant callers that leave too late, and against
failures where the kernel does not tell the round trip.
"""

from collections.abc import Iterator
from typing import Any

import pytest
from eventlet.green import socket

from fennelfork_daemon.routes._caller_way import caller_way_ms


class TestCallerWay:
    """A kept and a new connection, and a socket without the measurement."""

    @pytest.fixture
    def accepted(self) -> Iterator[Any]:
        """Accept one connection on loopback."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            with socket.create_connection(listener.getsockname()):
                connection, _address = listener.accept()
                with connection:
                    yield connection

    def test_new_connection(self, accepted: Any) -> None:
        """The handshake of a new connection costs one more round trip."""
        kept_ms = caller_way_ms(accepted, is_new=False)
        assert 0 < kept_ms < 50
        assert caller_way_ms(accepted, is_new=True) == 2 * kept_ms

    def test_unknown(self) -> None:
        """Without a measurement, no time is assumed."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unconnected:
            assert caller_way_ms(unconnected, is_new=True) == 0
