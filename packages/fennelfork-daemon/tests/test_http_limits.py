"""Request targets that a server hands to its application.

Guards against a request that is changed on its way.
"""

import attrs
import eventlet
import pytest
from eventlet.green import socket

from fennelfork_daemon._address import address
from fennelfork_daemon.http._wsgi_protocol import TARGET_KEY, ConnectionLimits
from fennelfork_daemon.http._wsgi_server import (
    listening_address,
    open_listener,
    serve_wsgi,
)

_TIMEOUT_S = 20
_MAX_CONNECTIONS = 10


@attrs.define
class TargetServer:
    """Server that answers with the target and the body of each request."""

    limits: ConnectionLimits

    def __enter__(self) -> socket.socket:
        """Start the server and return a connection to it."""
        listener = open_listener(address('127.0.0.1:0'))
        self._thread = eventlet.spawn(
            serve_wsgi, listener, _answer, self.limits, _MAX_CONNECTIONS
        )
        eventlet.sleep(0)
        port = listening_address(listener).port
        self._connection = socket.create_connection(('127.0.0.1', port))
        self._connection.settimeout(_TIMEOUT_S)
        return self._connection

    def __exit__(self, *_error: object) -> None:
        """Stop the server."""
        self._connection.close()
        self._thread.kill()

    _thread: object = None
    _connection: object = None


def _limits() -> ConnectionLimits:
    return ConnectionLimits(
        header_bytes=5000, request_read_ms=100, idle_ms=100
    )


def _answer(environ, start_response):
    target = environ[TARGET_KEY].encode()
    start_response('200 OK', [('Content-Type', 'text/plain')])
    return [target, b' ', environ['wsgi.input'].read()]


def _request(target: str) -> bytes:
    return b'GET %s HTTP/1.1\r\nHost: x\r\n\r\n' % target.encode()


class TestTarget:
    """Targets of requests."""

    @pytest.mark.parametrize('target', ['//x/y', '///x?a=//b', '/x//y', '/'])
    def test_target_is_unchanged(self, target: str) -> None:
        """A backend server gets the target that the caller sent."""
        with TargetServer(_limits()) as connection:
            connection.sendall(_request(target))
            assert b'\r\n\r\n%s ' % target.encode() in connection.recv(4096)
