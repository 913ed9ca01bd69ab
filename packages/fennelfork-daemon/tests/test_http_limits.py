"""Request targets and limits that change while a server runs.

Guards against a request that is changed on its way, and against limits of the
configuration that have no effect.
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
_LARGE_TARGET = '/large'
# Fits into the buffers of both sides.
_LARGE_BYTES = 400_000


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
    return ConnectionLimits(header_bytes=5000, request_read_ms=100, idle_ms=100)


def _answer(environ, start_response):
    target = environ[TARGET_KEY].encode()
    if environ[TARGET_KEY] == _LARGE_TARGET:
        target *= _LARGE_BYTES // len(target)
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


class TestChangedLimits:
    """Limits that a configuration raises after the start of the server."""

    def test_long_target(self) -> None:
        """A request line may be as long as all headers."""
        limits = _limits()
        limits.header_bytes = 8000
        with TargetServer(limits) as connection:
            connection.sendall(_request(f'/{"x" * 6000}'))
            assert connection.recv(100).startswith(b'HTTP/1.1 200 ')

    def test_idle_connection(self) -> None:
        """A connection is kept for the idle time in force."""
        limits = _limits()
        with TargetServer(limits) as connection:
            limits.idle_ms = 5000
            connection.sendall(_request('/first'))
            connection.recv(4096)
            eventlet.sleep(0.3)
            connection.sendall(_request('/second'))
            assert b'/second' in connection.recv(4096)

    def test_paused_body(self) -> None:
        """A body may pause for the reading time in force."""
        limits = _limits()
        with TargetServer(limits) as connection:
            limits.request_read_ms = 5000
            connection.sendall(_request('/first'))
            connection.recv(4096)
            connection.sendall(
                b'POST /second HTTP/1.1\r\nContent-Length: 2\r\n\r\n'
            )
            eventlet.sleep(0.3)
            connection.sendall(b'{}')
            assert b'/second {}' in connection.recv(4096)


def test_slow_reader_keeps_its_connection() -> None:
    """A client that reads a long answer slowly may send the next request.

    Guards against a limit on unread answers that hits sound clients.
    """
    limits = _limits()
    limits.idle_ms = 5000
    with TargetServer(limits) as connection:
        connection.sendall(_request(_LARGE_TARGET))
        eventlet.sleep(0.5)
        received = 0
        while received < _LARGE_BYTES:
            received += len(connection.recv(65_536))
        connection.sendall(_request('/second'))
        answer = b''
        while b'/second' not in answer:
            chunk = connection.recv(4096)
            assert chunk
            answer += chunk
