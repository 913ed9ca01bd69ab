"""HTTP server of the caller API and the operator API."""

from collections.abc import Callable
from typing import Any, Final

from eventlet import listen, wsgi
from eventlet.green import socket

from fennelfork_daemon._address import Address
from fennelfork_daemon.http._wsgi_protocol import (
    ConnectionLimits,
    OnRefusal,
    bounded_protocol,
    ignore_refusal,
)

Application = Callable[..., Any]

_BACKLOG: Final = 512
_MS_PER_SECOND: Final = 1000


def open_listener(address: Address) -> socket.socket:
    """Open a listening socket whose connections use TCP_NODELAY.

    Raises:
        OSError: if the address is in use or not an address of this machine.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = listen((address.host, address.port), family, _BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def listening_address(listener: socket.socket) -> Address:
    """Return the address of a listening socket, with the assigned port."""
    host, port = listener.getsockname()[:2]
    return Address(host=host, port=port)


def serve_wsgi(
    listener: socket.socket,
    application: Application,
    limits: ConnectionLimits,
    max_connections: int,
    on_refusal: OnRefusal = ignore_refusal,
) -> None:
    """Serve an HTTP API until the calling green thread is killed.

    After the kill, idle connections are closed, and the function returns when
    the requests in progress are answered.

    Args:
        listener: listening socket.
        application: WSGI application.
        limits: limits of one connection.
        max_connections: maximum number of open connections.
        on_refusal: function that is called with the reason of each request
            that is refused before it reaches the application.
    """
    wsgi.server(
        listener,
        application,
        max_size=max_connections,
        protocol=bounded_protocol(limits, on_refusal),
        keepalive=limits.idle_ms / _MS_PER_SECOND,
        socket_timeout=limits.request_read_ms / _MS_PER_SECOND,
        url_length_limit=limits.header_bytes,
        log_output=False,
        debug=False,
    )
