"""HTTP server with the limits of a settings file."""

from eventlet.green import socket

from fennelfork_daemon.http._wsgi_protocol import ConnectionLimits
from fennelfork_daemon.http._wsgi_server import Application, serve_wsgi
from fennelfork_daemon.settings._tables import Settings


def serve_http(
    listener: socket.socket,
    application: Application,
    settings: Settings,
) -> None:
    """Serve an HTTP API with the settings of a daemon; see `serve_wsgi`.

    Args:
        listener: listening socket.
        application: WSGI application.
        settings: settings with the limits of connections.
    """
    limits = ConnectionLimits(
        header_bytes=settings.limits.header_bytes,
        request_read_ms=settings.timeouts.request_read_ms,
        idle_ms=settings.timeouts.idle_ms,
    )
    serve_wsgi(listener, application, limits, settings.limits.connections)
