"""TCP sockets as every face and client of the daemon uses them."""

import socket
from typing import Final

import attrs
import eventlet

_BACKLOG: Final = 512


@attrs.frozen(kw_only=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Give the address as `ip:port`."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Read `ip:port`.

    Raises:
        ValueError: if there is no port.
    """
    host, _, port = text.rpartition(':')
    return Address(host=host, port=int(port))


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
