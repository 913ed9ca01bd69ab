"""Socket options and reset detection for connections of a daemon."""

import contextlib
import functools
import socket
import struct
from collections.abc import Callable
from http.client import HTTPException
from typing import Any, Final

from eventlet.greenio import GreenSocket

# `struct linger` with a time of zero seconds.
_NO_LINGER: Final = struct.pack('ii', 1, 0)


class ConnectionBroken(HTTPException):
    """Connection that the remote end reset; received data may be truncated."""


class _ResetAwareSocket(GreenSocket):  # type: ignore[misc]  # eventlet has no types
    """Cooperative socket whose reads raise an error on a reset.

    eventlet reads a reset as the end of the stream, so that a truncated
    response without a length would be accepted as complete.
    """

    def _recv_loop(
        self,
        read: Callable[..., Any],
        empty: Any,
        *args: Any,
    ) -> Any:
        return super()._recv_loop(
            functools.partial(_read_or_raise, read),
            empty,
            *args,
        )


def reset_aware(sock: Any) -> Any:
    """Return a socket whose reads raise `ConnectionBroken` on a reset.

    Args:
        sock: connected socket, which the caller must not use afterwards;
            a socket that is not cooperative is returned unchanged.
    """
    if not isinstance(sock, GreenSocket):
        return sock
    wrapper = _ResetAwareSocket(sock.fd, set_nonblocking=False)
    wrapper.settimeout(sock.gettimeout())
    # Keeps the original socket object alive: its finaliser closes the
    # connection.
    wrapper.wrapped = sock
    return wrapper


def set_no_delay(sock: socket.socket) -> None:
    """Set TCP_NODELAY on a socket.

    Otherwise Nagle's algorithm and delayed acknowledgements add latency to
    each call between daemons.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def discard_on_close(sock: socket.socket) -> None:
    """Let the close of a socket reset its connection.

    The kernel then discards the bytes that the remote end has not received;
    otherwise it goes on sending them after the close.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def _read_or_raise(read: Callable[..., Any], *args: Any) -> Any:
    try:
        return read(*args)
    except ConnectionResetError as error:
        raise ConnectionBroken('reset by the other end') from error
