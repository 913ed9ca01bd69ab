"""One connection to a backend server, over a real socket."""

import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import closing
from unittest import mock

import pytest

from fennelfork import FailureCode, Verdict
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend._call import BackendCall
from fennelfork_daemon.backend._connection import backend_connection

_CAP_S = 20
_NO_LINGER = struct.pack('ii', 1, 0)
_NOBODY = Address(host='127.0.0.1', port=1)
_CALL = BackendCall(path='/v1/search', body={'keys': [1]}, timeout_ms=20_000)
_FINE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


class _OneReply:
    """A server that reads once and sends what a test says."""

    def __init__(self) -> None:
        self.reply = _FINE
        self.first_read = b''
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.settimeout(_CAP_S)
        self.thread = threading.Thread(target=self.serve)

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self.listener.getsockname()
        return Address(host=host, port=port)

    def serve(self) -> None:
        """Answer one connection."""
        accepted, _ = self.listener.accept()
        with closing(accepted):
            accepted.settimeout(_CAP_S)
            self.first_read = accepted.recv(65_536)
            accepted.sendall(self.reply)


@pytest.fixture
def server() -> Iterator[_OneReply]:
    """Give a server that ends with the test."""
    own = _OneReply()
    own.thread.start()
    yield own
    own.thread.join(_CAP_S)
    own.listener.close()


class TestBackendConnection:
    """What goes over the wire, and what is made of what comes back."""

    def test_request_goes_in_one_write(self, server: _OneReply) -> None:
        """Head and body arrive with the first read of the server."""
        connection = backend_connection(server.address, 1000)
        connection.open(_CALL.timeout_ms)
        response = connection.carry(_CALL).unwrap()
        assert (response.status, response.body) == (200, b'{}')
        assert server.first_read.endswith(b'{"keys": [1]}')

    @pytest.mark.parametrize(
        ('reply', 'code'),
        [
            (b'no HTTP at all\r\n\r\n', FailureCode.UNREACHABLE),
            (_FINE.replace(b': 2', b': 9'), FailureCode.UNREACHABLE),
            (b'', FailureCode.UNREACHABLE),
            (_FINE.replace(b'2\r', b'2000\r') + bytes(2000), None),
        ],
    )
    def test_a_broken_reply_may_have_run(
        self,
        server: _OneReply,
        reply: bytes,
        code: FailureCode | None,
    ) -> None:
        """Garbage, a body cut off, silence, a body that is too long."""
        server.reply = reply
        connection = backend_connection(server.address, 1000)
        connection.open(_CALL.timeout_ms)
        failure = connection.carry(_CALL).failure()
        assert failure.code is (code or FailureCode.BAD_REPLY)
        assert failure.verdict is Verdict.MAY_HAVE_RUN

    def test_extra_bytes_spoil_the_connection(self) -> None:
        """What follows a whole reply belongs to no call of ours."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            host, port = listener.getsockname()
            connection = backend_connection(Address(host=host, port=port), 1000)
            connection.open(_CALL.timeout_ms)
            far = listener.accept()[0]
        with closing(far):
            far.sendall(_FINE)
            assert connection.carry(_CALL).unwrap().body == b'{}'
            assert connection.alive
            far.sendall(_FINE)
            assert not connection.alive
        connection.close()

    def test_a_refused_connection_is_not_run(self) -> None:
        """No byte was sent where nobody listens."""
        with closing(socket.create_server(('127.0.0.1', 0))) as closed:
            host, port = closed.getsockname()
        connection = backend_connection(Address(host=host, port=port), 1000)
        failure = connection.open(_CALL.timeout_ms).failure()
        assert failure.verdict is Verdict.NOT_RUN

    @pytest.mark.parametrize(
        ('error', 'code'),
        [
            (ConnectionResetError, FailureCode.SHED),
            (ConnectionRefusedError, FailureCode.UNREACHABLE),
            (TimeoutError, FailureCode.UNREACHABLE),
        ],
    )
    def test_a_reset_is_no_refusal(
        self,
        monkeypatch: pytest.MonkeyPatch,
        error: type[OSError],
        code: FailureCode,
    ) -> None:
        """A server at its limit resets; where nobody listens, it refuses."""
        monkeypatch.setattr(
            socket.socket,
            'connect',
            mock.Mock(side_effect=error),
        )
        connection = backend_connection(_NOBODY, 1000)
        failure = connection.open(500).failure()
        assert failure.code is code
        assert failure.verdict is Verdict.NOT_RUN

    @pytest.mark.parametrize(
        ('answered', 'code'),
        [(False, FailureCode.SHED), (True, FailureCode.UNREACHABLE)],
    )
    def test_reset_after_the_request(
        self,
        answered: bool,  # a parameter of the test
        code: FailureCode,
    ) -> None:
        """A new connection is reset for a limit, one in use for a crash."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            host, port = listener.getsockname()
            connection = backend_connection(Address(host=host, port=port), 1000)
            connection.open(_CALL.timeout_ms)
            far = listener.accept()[0]
        if answered:
            far.sendall(_FINE)
            connection.carry(_CALL)
        # Closed at once, with bytes unread, which resets it.
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        far.close()
        failure = connection.carry(_CALL).failure()
        assert failure.code is code
        assert failure.verdict is Verdict.MAY_HAVE_RUN
