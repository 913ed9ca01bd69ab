"""Reservation of listen addresses for processes of a rig.

Guards against the kernel assigning a reserved port to another listener before
the process that the address is reserved for listens.
"""

import contextlib
import socket

from fennelfork_bench.rig._process import rig

_ADDRESS_COUNT = 60
_LISTENER_COUNT = 800


class TestReservedAddresses:
    """Exclusive reservations of addresses."""

    def test_reserved_ports_are_not_reassigned(self) -> None:
        """Other reservations and listeners get different ports."""
        with rig() as processes, contextlib.ExitStack() as open_listeners:
            reserved = {
                processes.reserve_address() for _ in range(_ADDRESS_COUNT)
            }
            assert len(reserved) == _ADDRESS_COUNT
            assigned = {
                _address(open_listeners.enter_context(_listener(0)))
                for _ in range(_LISTENER_COUNT)
            }
            assert not reserved & assigned

    def test_reserved_address_allows_listening(self) -> None:
        """A process can listen at the reserved address repeatedly."""
        with rig() as processes:
            address = processes.reserve_address()
            port = int(address.rpartition(':')[2])
            for _ in range(2):
                with _listener(port) as listener:
                    assert _address(listener) == address


def _listener(port: int) -> socket.socket:
    return socket.create_server(('127.0.0.1', port))


def _address(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f'{host}:{port}'
