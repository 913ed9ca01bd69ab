"""Tests of the HTTP server with oversized and slow requests."""

import contextlib
import json
from collections.abc import Iterator
from typing import Any

import eventlet
import pytest
from daemon_builders_product import (
    LARGE_BYTES,
    echo_application,
    large_application,
    settings_document,
)
from eventlet.green import socket

from fennelfork_daemon._address import address
from fennelfork_daemon.http._settings_server import serve_http
from fennelfork_daemon.http._wsgi_server import listening_address, open_listener
from fennelfork_daemon.settings._settings import read_settings

_TIMEOUT_S = 20
_CONNECTIONS = 3
_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'


@pytest.fixture
def port() -> Iterator[int]:
    """Serve the echo application with low limits."""
    yield from _serve_port(echo_application)


@pytest.fixture
def large_port() -> Iterator[int]:
    """Serve large answers with low limits."""
    yield from _serve_port(large_application)


def _serve_port(application: Any) -> Iterator[int]:
    settings = read_settings(
        settings_document(
            limits={'header_bytes': 1024, 'connections': _CONNECTIONS},
            timeouts={'request_read_ms': 100, 'idle_ms': 300},
        ),
    ).unwrap()
    listener = open_listener(address('127.0.0.1:0'))
    server = eventlet.spawn(serve_http, listener, application, settings)
    eventlet.sleep(0)
    yield listening_address(listener).port
    server.kill()


def _exchange(port: int, *chunks: bytes, gap_s: float = 0) -> bytes:
    """Send chunks with pauses and return all received bytes."""
    with eventlet.Timeout(_TIMEOUT_S):
        with socket.create_connection(('127.0.0.1', port)) as connection:
            for chunk in chunks:
                try:
                    connection.sendall(chunk)
                except OSError:
                    break
                eventlet.sleep(gap_s)
            return _read_until_end(connection)


def _read_until_end(connection: socket.socket) -> bytes:
    parts = []
    while True:
        part = connection.recv(65_536)
        if not part:
            return b''.join(parts)
        parts.append(part)


def _post(body: bytes, *headers: bytes) -> bytes:
    length = b'Content-Length: %d' % len(body)
    return _request(body, length, *headers)


def _request(body: bytes, *headers: bytes) -> bytes:
    lines = b'\r\n'.join(headers)
    return b'%s%s\r\n\r\n%s' % (_HEAD, lines, body)


def _problem(answer: bytes) -> tuple[int, str]:
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'application/problem+json' in head
    assert b'connection: close' in head.lower()
    document = json.loads(body)
    assert document['verdict'] == 'not_run'
    return int(head.split()[1]), document['detail']


class TestServeHttp:
    """Requests on persistent connections."""

    def test_keeps_a_connection(self, port: int) -> None:
        """Two requests on one connection are both answered."""
        answer = _exchange(port, _post(b'{"a": 1}'), _post(b'{"b": 2}'))
        assert answer.count(b'HTTP/1.1 200 OK') == 2
        assert b'{"b": 2}' in answer

    def test_keeps_a_connection_after_bad_json(self, port: int) -> None:
        """A complete body that is not JSON does not close the connection."""
        answer = _exchange(port, _post(b'{'), _post(b'{"b": 2}'))
        assert b'400 Bad Request' in answer
        assert b'{"b": 2}' in answer


class TestConnections:
    """Limit on open connections."""

    def test_waits_for_idle_connections_to_close(self, port: int) -> None:
        """Idle connections at the limit delay a request only until timeout."""
        with contextlib.ExitStack() as idle:
            for _ in range(_CONNECTIONS):
                place = ('127.0.0.1', port)
                idle.enter_context(socket.create_connection(place))
            answer = _exchange(port, _post(b'{"a": 1}'))
        assert b'200 OK' in answer


class TestRefusals:
    """Requests beyond a limit get an error and a closed connection."""

    def test_oversize_headers(self, port: int) -> None:
        """More header bytes than allowed are answered with 431."""
        answer = _exchange(port, _post(b'{}', b'X-Long: %s' % (b'x' * 2000)))
        assert _problem(answer) == (431, 'the headers exceed 1024 bytes')

    def test_oversize_body(self, port: int) -> None:
        """A body above the limit is answered with 413 without reading."""
        answer = _exchange(port, _post(b'x' * 300_000))
        assert _problem(answer)[0] == 413

    def test_slow_headers(self, port: int) -> None:
        """The timeout covers all headers together and answers 408."""
        chunks = [b'X-%d: 1\r\n' % index for index in range(40)]
        answer = _exchange(port, _HEAD, *chunks, gap_s=0.03)
        assert _problem(answer)[0] == 408

    def test_slow_body(self, port: int) -> None:
        """The timeout covers the whole body and answers 408."""
        chunks = [b' ' for _ in range(40)]
        head = _request(b'', b'Content-Length: 40')
        answer = _exchange(port, head, *chunks, gap_s=0.03)
        assert _problem(answer)[0] == 408

    def test_no_request(self, port: int) -> None:
        """A connection without a request is closed without an answer."""
        assert _exchange(port) == b''

    def test_chunked_body(self, port: int) -> None:
        """A body of unknown length is refused with 411."""
        chunked = b'Transfer-Encoding: chunked'
        answer = _exchange(port, _request(b'2\r\n{}\r\n0\r\n\r\n', chunked))
        assert _problem(answer)[0] == 411

    @pytest.mark.parametrize(
        'headers',
        [
            (b'Content-Length: 2', b'Content-Length: 7'),
            (b'Content-Length: 2', b'Content-Length: 2'),
            (b'Content-Length: 2', b'Transfer-Encoding: chunked'),
            (b'Transfer-Encoding: chunked', b'Transfer-Encoding: chunked'),
            (b'Transfer-Encoding: gzip, chunked',),
            (b'Transfer-Encoding: xchunked',),
            (b'Content-Length: -2',),
            (b'Content-Length: 2, 2',),
            (b'Content-Length: +2',),
        ],
    )
    def test_ambiguous_length(
        self,
        port: int,
        headers: tuple[bytes, ...],
    ) -> None:
        """An ambiguous length is refused, and no smuggled request runs."""
        smuggled = b'{}GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n'
        answer = _exchange(port, _request(smuggled, *headers))
        status, detail = _problem(answer)
        assert status == 400
        assert 'length' in detail
        assert answer.count(b'HTTP/1.1 ') == 1

    def test_not_http(self, port: int) -> None:
        """Bytes that are not HTTP are answered with a problem document."""
        assert _problem(_exchange(port, b'what is this\r\n\r\n'))[0] == 400


class TestSlowReader:
    """Clients that read an answer slowly."""

    def test_connection_is_closed(self, large_port: int) -> None:
        """The timeout covers the whole answer and closes the connection."""
        received = 0
        with eventlet.Timeout(_TIMEOUT_S), socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect(('127.0.0.1', large_port))
            connection.sendall(_post(b'{}'))
            while chunk := _receive(connection):
                received += len(chunk)
                eventlet.sleep(0.03)
        assert 0 < received < LARGE_BYTES


def _receive(connection: socket.socket) -> bytes:
    try:
        return connection.recv(1024)
    except ConnectionResetError:
        return b''
