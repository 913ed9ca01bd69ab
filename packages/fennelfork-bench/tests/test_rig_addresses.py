"""Addresses that processes of a rig are told to listen on.

Seen: now and then a process of a fleet did not come up, and its rig gave up. An
address was chosen by opening a listener there and closing it; until the process
that was told of it listened, the system gave the port to the next that wanted
any. Of 60 addresses chosen so, 3 to 9 went to 800 listeners opened after, and two
of them might be one. A fleet of some 36 addresses failed so in about one of ten.
"""

import contextlib
import socket

from fennelfork_bench.rig._process import rig

_ADDRESSES = 60
_OTHERS = 800


class TestReservedAddresses:
    """An address stays with whom it was given to."""

    def test_others_get_other_ports(self) -> None:
        """Neither another reservation nor a listener on any port takes it."""
        with rig() as processes, contextlib.ExitStack() as others:
            reserved = {processes.reserve_address() for _ in range(_ADDRESSES)}
            assert len(reserved) == _ADDRESSES
            taken = {
                _address(others.enter_context(_listener(0)))
                for _ in range(_OTHERS)
            }
            assert not reserved & taken

    def test_can_be_listened_on(self) -> None:
        """The process that was told of it gets it, also a second time."""
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
