"""TCP sockets as every face and client of the daemon uses them."""

import socket
from typing import Final

import eventlet

from fennelfork_daemon._address import Address

_BACKLOG: Final = 512


def listen(address: Address) -> socket.socket:
    """Open a listening socket.

    Raises:
        OSError: if the address cannot be bound.
    """
    listener = eventlet.listen(
        (address.host, address.port),
        backlog=_BACKLOG,
    )
    no_delay(listener)
    return listener


def bound_address(listener: socket.socket) -> Address:
    """Give the address that a listening socket got."""
    host, port = listener.getsockname()[:2]
    return Address(host=host, port=port)


def no_delay(sock: socket.socket) -> None:
    """Send small writes at once.

    Without it the buffered transport's writes meet delayed acknowledgement
    and a call between daemons takes 40 ms.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
