"""Requests of callers that end early.

Guards against a part of a request that runs in place of the request.
"""

import contextlib
from collections.abc import Iterator
from typing import Any

import attrs
import eventlet
import pytest
from daemon_builders_endings import Ending, end_connection, truncations
from eventlet.green import socket
from returns.pipeline import is_successful

from fennelfork import Failure
from fennelfork_daemon._address import address
from fennelfork_daemon.http._wsgi_protocol import ConnectionLimits
from fennelfork_daemon.http._wsgi_server import (
    listening_address,
    open_listener,
    serve_wsgi,
)
from fennelfork_daemon.routes._body import read_body

_TIMEOUT_S = 20
_READ_MS = 100
# A connection that is idle for longer is closed without an answer.
_IDLE_MS = 2000
_MAX_BYTES = 1000
_MAX_CONNECTIONS = 400
_LIMITS = ConnectionLimits(
    header_bytes=_MAX_BYTES, request_read_ms=_READ_MS, idle_ms=_IDLE_MS
)
_HEAD = b'POST /issue/7 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 9c41d07b\r\n'
_WITH_LENGTH = b'%sContent-Length: 9\r\n\r\n{"a": 10}' % _HEAD
_CHUNKED = (
    b'%sTransfer-Encoding: chunked\r\n\r\n'
    b'04\r\n{"a"\r\n05;x=1\r\n: 10}\r\n00\r\nX-Trailer: 1\r\n\r\n'
) % _HEAD
_WITHOUT_BODY = b'GET /rafts/7 HTTP/1.1\r\nHost: x\r\n\r\n'
_REQUESTS = pytest.mark.parametrize(
    'request_bytes',
    [_WITH_LENGTH, _CHUNKED, _WITHOUT_BODY],
    ids=['length', 'chunked', 'no-body'],
)
_ENDINGS = pytest.mark.parametrize(
    'ending', [Ending.CLOSE, Ending.HALF_CLOSE, Ending.RESET]
)


@attrs.define(kw_only=True)
class RecordingServer:
    """HTTP server that records the requests which it would run.

    Attributes:
        runs: method, path and body of each request.
        refusals: reasons of the requests that were refused while they were
            read.
        port: port of the listener.
    """

    runs: list[tuple[str, str, bytes | None]] = attrs.field(factory=list)
    refusals: list[Failure] = attrs.field(factory=list)
    port: int = 0

    def run(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Record a request whose body is complete, or refuse the request."""
        body = read_body(environ, _MAX_BYTES, _READ_MS)
        if not is_successful(body):
            start_response('400 Bad Request', [('Content-Length', '0')])
            return []
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        self.runs.append((method, path, body.unwrap()))
        start_response('200 OK', [('Content-Length', '0')])
        return []


@pytest.fixture
def server() -> Iterator[RecordingServer]:
    """Run a server with short timeouts."""
    listener = open_listener(address('127.0.0.1:0'))
    running = RecordingServer(port=listening_address(listener).port)
    thread = eventlet.spawn(
        serve_wsgi,
        listener,
        running.run,
        _LIMITS,
        _MAX_CONNECTIONS,
        running.refusals.append,
    )
    eventlet.sleep(0)
    yield running
    thread.kill()


def _send(port: int, sent: bytes, ending: Ending) -> bytes:
    """Send bytes, end the connection and return what the server answers."""
    connection = socket.create_connection(('127.0.0.1', port))
    connection.sendall(sent)
    eventlet.sleep(0.001)
    end_connection(connection, ending)
    if ending in {Ending.CLOSE, Ending.RESET}:
        return b''
    with contextlib.closing(connection), eventlet.Timeout(_TIMEOUT_S):
        return _read_until_end(connection)


def _read_until_end(connection: Any) -> bytes:
    received = b''
    while chunk := connection.recv(65_536):
        received += chunk
    return received


@_REQUESTS
class TestEarlyEnd:
    """Requests that end after each of their bytes."""

    @_ENDINGS
    def test_truncated_request_does_not_run(
        self, server: RecordingServer, request_bytes: bytes, ending: Ending
    ) -> None:
        """A caller that leaves within its request has sent no request."""
        for truncated in truncations(request_bytes):
            _send(server.port, truncated, ending)
            eventlet.sleep(0.001)
            assert not server.runs, truncated

    @_ENDINGS
    def test_second_request_does_not_run(
        self, server: RecordingServer, request_bytes: bytes, ending: Ending
    ) -> None:
        """The same holds for a later request on an open connection."""
        for truncated in truncations(request_bytes)[::7]:
            _send(server.port, _WITHOUT_BODY + truncated, ending)
            eventlet.sleep(0.002)
            assert len(server.runs) <= 1, truncated
            server.runs.clear()

    def test_silent_caller_does_not_run(
        self, server: RecordingServer, request_bytes: bytes
    ) -> None:
        """A caller that falls silent within its request runs nothing."""
        truncated = truncations(request_bytes)[1:]
        threads = [
            eventlet.spawn(_send, server.port, sent, Ending.SILENCE)
            for sent in truncated
        ]
        for thread in threads:
            thread.wait()
        assert not server.runs

    def test_complete_request_runs(
        self, server: RecordingServer, request_bytes: bytes
    ) -> None:
        """The same requests run when they are complete."""
        _send(server.port, request_bytes, Ending.CLOSE)
        eventlet.sleep(0.02)
        assert len(server.runs) == 1


class TestMalformedHeaders:
    """Header lines without a colon, which hide the lines after them.

    Guards against a body that runs as a request of its own.
    """

    @pytest.mark.parametrize('line', [b'no header', b'Host : x', b'a\tb: c'])
    def test_hidden_length(self, server: RecordingServer, line: bytes) -> None:
        """Neither the request nor its body runs."""
        head, _, body = _WITH_LENGTH.partition(b'Content-Length')
        hidden = b'%s%s\r\nContent-Length%s' % (head, line, body)
        answer = _send(server.port, hidden + _WITHOUT_BODY, Ending.HALF_CLOSE)
        assert not server.runs
        assert answer.startswith(b'HTTP/1.1 400 ')
        assert b'a header line is malformed' in answer


class TestAnswer:
    """Answers to callers that can still read."""

    def test_truncated_headers_are_refused(
        self, server: RecordingServer
    ) -> None:
        """A caller that closes one direction gets a reason."""
        for truncated in truncations(_WITHOUT_BODY)[1:]:
            answer = _send(server.port, truncated, Ending.HALF_CLOSE)
            assert answer.startswith(b'HTTP/1.1 400 '), truncated
            assert b'"verdict": "not_run"' in answer
            assert b'the connection ended within a message' in answer
            detail = server.refusals.pop().detail
            assert detail == 'the connection ended within a message'
            assert not server.refusals

    def test_no_request(self, server: RecordingServer) -> None:
        """A connection that ends without a request gets no answer."""
        assert not _send(server.port, b'', Ending.HALF_CLOSE)
