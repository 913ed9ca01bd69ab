"""Socket options and reading that every connection of the daemon has."""

import functools
import socket
from collections.abc import Callable
from http.client import HTTPException
from typing import Any

from eventlet.greenio import GreenSocket


class ConnectionBroken(HTTPException):
    """The other end reset a connection, so what was read may be cut short."""


class _ResetAwareSocket(GreenSocket):  # type: ignore[misc]
    """A cooperative socket that reports a reset.

    The library's own reads take a reset for an orderly end, and a reply that
    has no length would pass for whole when its server crashed in the middle.
    """

    def _recv_loop(
        self,
        read: Callable[..., Any],
        empty: Any,
        *args: Any,
    ) -> Any:
        return super()._recv_loop(
            functools.partial(_read, read),
            empty,
            *args,
        )


def reset_aware(sock: Any) -> Any:
    """Give a socket whose reads fail where the connection was reset.

    Args:
        sock: a connected socket; it is not to be used any more itself. Where
            sockets are not cooperative, it is given back as it is.
    """
    if not isinstance(sock, GreenSocket):
        return sock
    aware = _ResetAwareSocket(sock.fd, set_nonblocking=False)
    aware.settimeout(sock.gettimeout())
    # Collected, the first wrapper would close the connection.
    aware.wrapped = sock
    return aware


def no_delay(sock: socket.socket) -> None:
    """Send small writes at once.

    Without it the buffered transport's writes meet delayed acknowledgement
    and a call between daemons takes 40 ms.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _read(read: Callable[..., Any], *args: Any) -> Any:
    try:
        return read(*args)
    except ConnectionResetError as error:
        raise ConnectionBroken('reset by the other end') from error
