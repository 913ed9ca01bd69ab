"""HTTP connection to a backend server or to the platform."""

import functools
import socket
from http.client import HTTPException, RemoteDisconnected
from typing import Any, Final

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result, Success
from urllib3.exceptions import HTTPError
from urllib3.exceptions import TimeoutError as LibraryTimeoutError

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork.responses import MalformedMessage
from fennelfork_daemon._address import Address
from fennelfork_daemon._http_connection import (
    CompleteHTTPConnection,
    cause_of,
)
from fennelfork_daemon._message_reader import ENDLESS_ERRORS
from fennelfork_daemon._sockets import (
    ConnectionBroken,
    discard_on_close,
    reset_aware,
)
from fennelfork_daemon.backend._request import (
    AnyRequest,
    BackendResponse,
    ForwardRequest,
    send_request,
)
from fennelfork_daemon.backend._response_memory import (
    ResponseMemory,
    response_memory,
)

_MS: Final = 1000
# The kernel drops a connection whose bytes stay unacknowledged for this time.
_USER_TIMEOUT_MS: Final = 3000
# Keep-alive probes detect an unresponsive peer while a watch waits for a
# response.
_SOCKET_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
# Bytes that tell whether a connection is closed or holds unexpected bytes.
_PEEK_BYTES: Final = 1
# Errors after which a request may have reached the server.
_TRANSPORT_ERRORS: Final = (HTTPError, HTTPException, OSError, EOFError)
# Errors of invalid responses; the connection of such a response counts as open.
_INVALID_MESSAGE_ERRORS: Final = (MalformedMessage, *ENDLESS_ERRORS)
# Transport errors that do not imply a lost connection.
_TIMEOUT_ERRORS: Final = (TimeoutError, LibraryTimeoutError)


class _SingleWriteConnection(CompleteHTTPConnection):
    """Connection that sends the head and body of a request in one write.

    A single write saves a system call and wakes the server only once.
    """

    _buffered: list[bytes] | None = None

    def connect(self) -> None:
        """Connect with a socket that distinguishes a reset from a close."""
        super().connect()
        self.sock = reset_aware(self.sock)

    def request(self, *args: Any, **options: Any) -> None:
        """Send a request with a body of type bytes."""
        self._buffered = []
        super().request(*args, **options)
        message = b''.join(self._buffered)
        self._buffered = None
        self.send(message)

    def send(self, data: Any) -> None:
        """Send data, or buffer the data of an incomplete request."""
        if self._buffered is None:
            super().send(data)
        else:
            self._buffered.append(data)


@attrs.define(kw_only=True)
class BackendConnection:
    """Connection that carries one request at a time.

    Attributes:
        keep_alive_ms: idle time after which the server closes the connection,
            in milliseconds, if the server announced one.
    """

    keep_alive_ms: float | None = None
    _http: CompleteHTTPConnection
    _max_response_bytes: int
    _memory: ResponseMemory
    _has_responded: bool = False
    _awaits_response: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the connection is open as far as the local socket shows."""
        return self._http.sock is not None and _is_silent(self._http.sock)

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Open the connection.

        Returns:
            None, or a `NOT_RUN` failure: `SHED` if the server resets the new
            connection, `UNREACHABLE` if the server refuses the connection or
            does not respond.
        """
        self._http.timeout = timeout_ms / _MS
        try:
            self._http.connect()
        except (HTTPError, OSError) as error:
            return Bad(_connect_failure(error))
        return Success(None)

    def exchange(self, request: AnyRequest) -> Result[BackendResponse, Failure]:
        """Send a request and read the response.

        Returns:
            The response, or a failure with the verdict `MAY_HAVE_RUN`, since
            bytes were sent. The code is `SHED` if the connection was reset
            before its first response, as servers at their connection limit
            do.
        """
        self._http.timeout = request.timeout_ms / _MS
        if self._http.sock is not None:
            self._http.sock.settimeout(request.timeout_ms / _MS)
        self._awaits_response = True
        try:
            outcome = self._send_and_read(request).bind(
                functools.partial(_check_response, request)
            )
        except _TRANSPORT_ERRORS as error:
            return Bad(self._to_failure(error))
        # A response to another request does not end the wait.
        self._awaits_response = not is_successful(outcome)
        return outcome

    def closes_within(self, timeout_ms: float) -> bool:
        """Wait for the peer to close the idle connection.

        Returns:
            Whether the peer closed or reset the connection, or sent bytes that
            belong to no request, before the timeout.
        """
        sock = self._http.sock
        if sock is None:
            return True
        sock.settimeout(timeout_ms / _MS)
        try:
            sock.recv(1)
        except _TIMEOUT_ERRORS:
            return False
        except _TRANSPORT_ERRORS:
            return True
        return True

    def close(self) -> None:
        """Close the connection and discard unread data.

        While a response is pending, the connection is reset: bytes of the
        request that were not delivered yet are discarded too, so the server
        does not receive the request later.
        """
        sock = self._http.sock
        if self._awaits_response and sock is not None:
            discard_on_close(sock)
        self._http.close()

    def _to_failure(self, error: Exception) -> Failure:
        cause = cause_of(error)
        if isinstance(cause, _INVALID_MESSAGE_ERRORS):
            detail = f'{type(cause).__name__}: {cause}'
            return may_have_run(FailureCode.BAD_REPLY, detail)
        code = self._broken_failure_code(error)
        return attrs.evolve(
            may_have_run(code, _describe_error(error)),
            connection_lost=not isinstance(error, _TIMEOUT_ERRORS),
        )

    def _broken_failure_code(self, error: Exception) -> FailureCode:
        is_reset = isinstance(error, ConnectionBroken | ConnectionResetError)
        # RemoteDisconnected, an orderly close, is a ConnectionResetError.
        is_end = isinstance(error, RemoteDisconnected)
        if is_reset and not is_end and not self._has_responded:
            return FailureCode.SHED
        return FailureCode.UNREACHABLE

    def _send_and_read(
        self, request: AnyRequest
    ) -> Result[BackendResponse, Failure]:
        send_request(request, self._http)
        response = self._http.getresponse()
        self._has_responded = True
        body = self._memory.read_body(response, self._max_response_bytes)
        if not is_successful(body):
            return Bad(body.failure())
        response.release_conn()
        self.keep_alive_ms = _read_keep_alive_ms(
            response.headers.get('Keep-Alive', '')
        )
        return Success(
            BackendResponse(
                status=response.status,
                body=body.unwrap(),
                headers=tuple(response.headers.items()),
            ),
        )


def backend_connection(
    address: Address,
    max_response_bytes: int,
    memory: ResponseMemory | None = None,
) -> BackendConnection:
    """Build a connection without opening it.

    Args:
        address: address of the server.
        max_response_bytes: size limit of a response body, in bytes.
        memory: memory that the responses of several connections share.
    """
    http = _SingleWriteConnection(
        address.host,
        address.port,
        socket_options=_SOCKET_OPTIONS,
    )
    return BackendConnection(
        http=http,
        max_response_bytes=max_response_bytes,
        memory=memory or response_memory(max_response_bytes),
    )


def _is_silent(sock: Any) -> bool:
    """Whether a socket is open and has no bytes to read.

    The check that urllib3 makes takes a turn of the event loop.
    """
    raw_socket = getattr(sock, 'fd', sock)
    if raw_socket.gettimeout() != 0:
        raw_socket.settimeout(0)
    try:
        raw_socket.recv(_PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _connect_failure(error: Exception) -> Failure:
    """Return a failure with the code `SHED` for a reset connection.

    A refused connection proves that no process listens on the address.
    """
    cause = cause_of(error)
    is_reset = isinstance(cause, ConnectionResetError)
    code = FailureCode.SHED if is_reset else FailureCode.UNREACHABLE
    return attrs.evolve(
        not_run(code, _describe_error(error)),
        server_ended=isinstance(cause, ConnectionRefusedError),
    )


def _describe_error(error: Exception) -> str:
    # The last argument is the message; urllib3 puts the connection object first.
    detail = error.args[-1] if error.args else error
    return f'{type(error).__name__}: {detail}'


def _check_response(
    request: AnyRequest,
    response: BackendResponse,
) -> Result[BackendResponse, Failure]:
    if isinstance(request, ForwardRequest):
        return request.check(response)
    return Success(response)


def _read_keep_alive_ms(text: str) -> float | None:
    """Parse the timeout of a Keep-Alive header such as `timeout=5, max=9`."""
    for parameter in text.split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return float(seconds) * _MS
    return None
