"""Serving of the HTTP faces."""

from collections.abc import Callable
from typing import Any, Final

from eventlet import listen, wsgi
from eventlet.green import socket

from fennelfork_daemon._address import Address
from fennelfork_daemon.http._wsgi_protocol import (
    ConnectionLimits,
    bounded_protocol,
)
from fennelfork_daemon.settings._tables import Settings

Application = Callable[..., Any]

_BACKLOG: Final = 512
_URL_BYTES: Final = 4096
_MS_PER_SECOND: Final = 1000


def open_listener(at: Address) -> socket.socket:
    """Open a listening socket with TCP_NODELAY for its connections.

    Raises:
        OSError: if the address is in use or not of this machine.
    """
    family = socket.AF_INET6 if ':' in at.host else socket.AF_INET
    listener = listen((at.host, at.port), family, _BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def listening_address(listener: socket.socket) -> Address:
    """Give the address that a socket really listens on."""
    host, port = listener.getsockname()[:2]
    return Address(host=host, port=port)


def serve_face(
    listener: socket.socket,
    application: Application,
    limits: ConnectionLimits,
    connections: int,
) -> None:
    """Serve an HTTP face until the calling green thread is killed.

    Killed, it closes idle connections and returns once the requests in
    progress are answered.

    Args:
        listener: the listening socket.
        application: the WSGI application.
        limits: what one connection may cost.
        connections: the most that are open at a time.
    """
    wsgi.server(
        listener,
        application,
        max_size=connections,
        protocol=bounded_protocol(limits),
        keepalive=limits.idle_ms / _MS_PER_SECOND,
        socket_timeout=limits.request_read_ms / _MS_PER_SECOND,
        url_length_limit=_URL_BYTES,
        log_output=False,
        debug=False,
    )


def serve_http(
    listener: socket.socket,
    application: Application,
    settings: Settings,
) -> None:
    """Serve an HTTP face by the settings of a daemon; see `serve_face`.

    Args:
        listener: the listening socket.
        application: the WSGI application.
        settings: what bounds connections, headers and time.
    """
    limits = ConnectionLimits(
        header_bytes=settings.limits.header_bytes,
        request_read_ms=settings.timeouts.request_read_ms,
        idle_ms=settings.timeouts.idle_ms,
    )
    serve_face(listener, application, limits, settings.limits.connections)
