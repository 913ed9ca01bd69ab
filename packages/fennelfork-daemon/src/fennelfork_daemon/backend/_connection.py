"""One HTTP connection to a backend server or to the platform."""

import functools
import socket
from http.client import HTTPException, RemoteDisconnected
from typing import Any, Final

import attrs
from returns.result import Failure as Bad
from returns.result import Result, Success
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.exceptions import TimeoutError as LibraryTimeoutError

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork_daemon._address import Address
from fennelfork_daemon._sockets import ConnectionBroken, reset_aware
from fennelfork_daemon.backend._call import (
    AnyRequest,
    BackendResponse,
    ForwardCall,
    send_request,
)

_MS: Final = 1000
# The system gives a connection up whose bytes nobody has acknowledged.
_USER_TIMEOUT_MS: Final = 3000
# A connection that went silent is found out after two probes, a second apart:
# a waiting watch has no other way to tell.
_SOCKET_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
# What ends a call whose bytes were sent.
_TRANSPORT_ERRORS: Final = (HTTPError, HTTPException, OSError, EOFError)
# Those of them that say nothing of the connection.
_TIMEOUT_ERRORS: Final = (TimeoutError, LibraryTimeoutError)


class _SingleWriteConnection(HTTPConnection):
    """Sends head and body of a request in one write.

    Two writes wake the server twice and cost two system calls.
    """

    _buffered: list[bytes] | None = None

    def connect(self) -> None:
        """Connect with a socket that tells a reset from an end."""
        super().connect()
        self.sock = reset_aware(self.sock)

    def request(self, *args: Any, **options: Any) -> None:
        """Send a request whose body is bytes."""
        self._buffered = []
        super().request(*args, **options)
        message = b''.join(self._buffered)
        self._buffered = None
        self.send(message)

    def send(self, data: Any) -> None:
        """Hold what belongs to a request back until it is whole."""
        if self._buffered is None:
            super().send(data)
        else:
            self._buffered.append(data)


@attrs.define(kw_only=True)
class BackendConnection:
    """Carries one call at a time.

    Attributes:
        keep_ms: for how long the other end keeps it open while it idles, if
            it said so.
    """

    keep_alive_ms: float | None = None
    _http: HTTPConnection
    _max_reply_bytes: int
    _has_responded: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the server has not closed it, as far as is known here."""
        return self._http.is_connected

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Connect; a failure is `NOT_RUN`, as no byte was sent.

        Returns:
            `SHED` if the server is there but takes no further connection,
            `UNREACHABLE` if nobody listens or answers.
        """
        self._http.timeout = timeout_ms / _MS
        try:
            self._http.connect()
        except (HTTPError, OSError) as error:
            return Bad(
                not_run(_connect_failure_code(error), _describe_error(error))
            )
        return Success(None)

    def carry(self, request: AnyRequest) -> Result[BackendResponse, Failure]:
        """Make one call and read its reply.

        Returns:
            The response, or a failure that may have run: bytes were sent. It
            is `SHED` where the connection was reset before it carried any
            byte back, as a server does that takes no further one.
        """
        self._http.timeout = request.timeout_ms / _MS
        if self._http.sock is not None:
            self._http.sock.settimeout(request.timeout_ms / _MS)
        try:
            return self._send_and_read(request).bind(
                functools.partial(_check_response, request)
            )
        except _TRANSPORT_ERRORS as error:
            return Bad(self._to_failure(error))

    def close(self) -> None:
        """Close it; what still arrives is lost."""
        self._http.close()

    def _to_failure(self, error: Exception) -> Failure:
        code = self._broken_failure_code(error)
        return attrs.evolve(
            may_have_run(code, _describe_error(error)),
            connection_lost=not isinstance(error, _TIMEOUT_ERRORS),
        )

    def _broken_failure_code(self, error: Exception) -> FailureCode:
        is_reset = isinstance(error, ConnectionBroken | ConnectionResetError)
        # The library takes an orderly end for a kind of reset.
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
        body = response.read(self._max_reply_bytes + 1)
        if len(body) > self._max_reply_bytes:
            detail = f'the reply is longer than {self._max_reply_bytes} bytes'
            return Bad(may_have_run(FailureCode.BAD_REPLY, detail))
        response.release_conn()
        self.keep_alive_ms = _read_keep_alive_ms(
            response.headers.get('Keep-Alive', '')
        )
        return Success(
            BackendResponse(
                status=response.status,
                body=body,
                headers=tuple(response.headers.items()),
            ),
        )


def backend_connection(
    address: Address,
    max_reply_bytes: int,
) -> BackendConnection:
    """Build a connection that is not open yet.

    Args:
        address: of the server.
        most_bytes: the largest reply that is read.
    """
    http = _SingleWriteConnection(
        address.host,
        address.port,
        socket_options=_SOCKET_OPTIONS,
    )
    return BackendConnection(http=http, max_reply_bytes=max_reply_bytes)


def _connect_failure_code(error: Exception) -> FailureCode:
    """Tell a server at its limit, which resets, from nobody, who refuses."""
    cause = error.__cause__ or error.__context__
    if isinstance(cause or error, ConnectionResetError):
        return FailureCode.SHED
    return FailureCode.UNREACHABLE


def _describe_error(error: Exception) -> str:
    # The library puts the connection first, whose address in memory tells nobody.
    detail = error.args[-1] if error.args else error
    return f'{type(error).__name__}: {detail}'


def _check_response(
    request: AnyRequest,
    response: BackendResponse,
) -> Result[BackendResponse, Failure]:
    if isinstance(request, ForwardCall):
        return request.check(response)
    return Success(response)


def _read_keep_alive_ms(text: str) -> float | None:
    """Read the timeout of a Keep-Alive header such as `timeout=5, max=9`."""
    for parameter in text.split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return float(seconds) * _MS
    return None
