"""HTTP connection to a backend server over a real socket."""

import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import closing, nullcontext
from typing import Any
from unittest import mock

import pytest
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Success

from fennelfork import FailureCode, Verdict, not_run
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend._connection import backend_connection
from fennelfork_daemon.backend._request import ForwardRequest, JsonRequest

_TIMEOUT_S = 20
_NO_LINGER = struct.pack('ii', 1, 0)
_UNUSED_ADDRESS = Address(host='127.0.0.1', port=1)
_REQUEST = JsonRequest(path='/v1/search', body={'keys': [1]}, timeout_ms=20_000)
_VALID_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


class _SingleResponseServer:
    """Server that reads once and sends a fixed response."""

    def __init__(self) -> None:
        self.response = _VALID_RESPONSE
        self.first_read = b''
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.settimeout(_TIMEOUT_S)
        self.thread = threading.Thread(target=self.serve)

    @property
    def address(self) -> Address:
        """Address of the listener."""
        host, port = self.listener.getsockname()
        return Address(host=host, port=port)

    def serve(self) -> None:
        """Serve one connection."""
        accepted, _ = self.listener.accept()
        with closing(accepted):
            accepted.settimeout(_TIMEOUT_S)
            self.first_read = accepted.recv(65_536)
            accepted.sendall(self.response)


@pytest.fixture
def server() -> Iterator[_SingleResponseServer]:
    """Run a server for the duration of the test."""
    test_server = _SingleResponseServer()
    test_server.thread.start()
    yield test_server
    test_server.thread.join(_TIMEOUT_S)
    test_server.listener.close()


@pytest.fixture
def connected_pair() -> Iterator[tuple[Any, Any]]:
    """Connect a connection to a socket of the test."""
    with closing(socket.create_server(('127.0.0.1', 0))) as listener:
        host, port = listener.getsockname()
        connection = backend_connection(Address(host=host, port=port), 1000)
        assert is_successful(connection.open(1000))
        peer_socket, _ = listener.accept()
        with closing(peer_socket):
            peer_socket.settimeout(_TIMEOUT_S)
            yield connection, peer_socket


class TestBackendConnection:
    """Bytes on the wire and the classification of responses and errors."""

    def test_request_goes_in_one_write(
        self, server: _SingleResponseServer
    ) -> None:
        """Head and body arrive in the first read of the server."""
        connection = backend_connection(server.address, 1000)
        connection.open(_REQUEST.timeout_ms)
        response = connection.exchange(_REQUEST).unwrap()
        assert (response.status, response.body) == (200, b'{}')
        assert server.first_read.endswith(b'{"keys": [1]}')

    @pytest.mark.parametrize('is_other', [False, True])
    def test_close_after_a_response(
        self, connected_pair: tuple[Any, Any], is_other: bool
    ) -> None:
        """A response to another request does not settle the own one."""
        connection, peer_socket = connected_pair
        peer_socket.sendall(_VALID_RESPONSE)
        failure = not_run(FailureCode.BAD_REPLY, 'another request')
        request = ForwardRequest(
            method='GET',
            target='/',
            headers=(),
            body=None,
            timeout_ms=_TIMEOUT_S * 1000,
            connect_ms=1000,
            check=lambda response: (
                Failed(failure) if is_other else Success(response)
            ),
        )
        connection.exchange(request)
        connection.close()
        peer_socket.recv(65_536)
        with pytest.raises(ConnectionResetError) if is_other else nullcontext():
            assert not peer_socket.recv(1)

    def test_target_is_unchanged(self, server: _SingleResponseServer) -> None:
        """Guards against a path whose leading slashes are joined."""
        request = ForwardRequest(
            method='GET',
            target='//x//y?a=//b',
            headers=(('Host', 'x'),),
            body=None,
            timeout_ms=20_000,
            connect_ms=1000,
        )
        connection = backend_connection(server.address, 1000)
        connection.open(request.timeout_ms)
        assert connection.exchange(request).unwrap().body == b'{}'
        assert server.first_read.startswith(b'GET //x//y?a=//b HTTP/1.1\r\n')

    @pytest.mark.parametrize(
        ('response', 'code'),
        [
            (b'no HTTP at all\r\n\r\n', FailureCode.BAD_REPLY),
            (_VALID_RESPONSE.replace(b': 2', b': 9'), FailureCode.UNREACHABLE),
            (b'', FailureCode.UNREACHABLE),
            (_VALID_RESPONSE.replace(b'2\r', b'2000\r') + bytes(2000), None),
        ],
    )
    def test_invalid_response_may_have_run(
        self,
        server: _SingleResponseServer,
        response: bytes,
        code: FailureCode | None,
    ) -> None:
        """Covers garbage, a truncated body, no response and a long body."""
        server.response = response
        connection = backend_connection(server.address, 1000)
        connection.open(_REQUEST.timeout_ms)
        failure = connection.exchange(_REQUEST).failure()
        assert failure.code is (code or FailureCode.BAD_REPLY)
        assert failure.verdict is Verdict.MAY_HAVE_RUN

    def test_extra_bytes_invalidate_the_connection(self) -> None:
        """Bytes after a complete response belong to no request."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            host, port = listener.getsockname()
            connection = backend_connection(Address(host=host, port=port), 1000)
            connection.open(_REQUEST.timeout_ms)
            peer_socket = listener.accept()[0]
        with closing(peer_socket):
            peer_socket.sendall(_VALID_RESPONSE)
            assert connection.exchange(_REQUEST).unwrap().body == b'{}'
            assert connection.is_open
            peer_socket.sendall(_VALID_RESPONSE)
            assert not connection.is_open
        connection.close()

    def test_refused_connection_is_not_run(self) -> None:
        """No byte is sent to an address without a listener."""
        with closing(socket.create_server(('127.0.0.1', 0))) as closed:
            host, port = closed.getsockname()
        connection = backend_connection(Address(host=host, port=port), 1000)
        failure = connection.open(_REQUEST.timeout_ms).failure()
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.server_ended

    @pytest.mark.parametrize(
        ('error', 'code'),
        [
            (ConnectionResetError, FailureCode.SHED),
            (ConnectionRefusedError, FailureCode.UNREACHABLE),
            (TimeoutError, FailureCode.UNREACHABLE),
        ],
    )
    def test_reset_differs_from_refusal(
        self,
        monkeypatch: pytest.MonkeyPatch,
        error: type[OSError],
        code: FailureCode,
    ) -> None:
        """A full server resets connections; a closed port refuses them."""
        monkeypatch.setattr(
            socket.socket,
            'connect',
            mock.Mock(side_effect=error),
        )
        connection = backend_connection(_UNUSED_ADDRESS, 1000)
        failure = connection.open(500).failure()
        assert failure.code is code
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.server_ended is (error is ConnectionRefusedError)

    @pytest.mark.parametrize(
        ('answered', 'code'),
        [(False, FailureCode.SHED), (True, FailureCode.UNREACHABLE)],
    )
    def test_reset_after_the_request(
        self,
        answered: bool,
        code: FailureCode,
    ) -> None:
        """A reset means a full server only before the first response."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            host, port = listener.getsockname()
            connection = backend_connection(Address(host=host, port=port), 1000)
            connection.open(_REQUEST.timeout_ms)
            peer_socket = listener.accept()[0]
        if answered:
            peer_socket.sendall(_VALID_RESPONSE)
            connection.exchange(_REQUEST)
        # A close with zero linger resets the connection.
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        peer_socket.close()
        failure = connection.exchange(_REQUEST).failure()
        assert failure.code is code
        assert failure.verdict is Verdict.MAY_HAVE_RUN
