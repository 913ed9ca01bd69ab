"""One HTTP connection to a backend server."""

import json
import socket
from http.client import HTTPException
from typing import Any, Final

import attrs
from returns.result import Failure as Bad
from returns.result import Result, Success
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork_daemon._address import Address

_MS: Final = 1000
# The system gives a connection up whose bytes nobody has acknowledged.
_USER_TIMEOUT_MS: Final = 3000
_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)
_HEADERS: Final = {'Content-Type': 'application/json'}


@attrs.frozen(kw_only=True)
class BackendCall:
    """One call of a backend server.

    Attributes:
        path: of the call; a call without a body is a GET.
        body: what to send as JSON.
        timeout_ms: how long to wait for the whole reply.
        fresh: open a new connection for it.
    """

    path: str
    body: dict[str, Any] | None
    timeout_ms: float
    fresh: bool = False


@attrs.frozen(kw_only=True)
class BackendResponse:
    """What came back, unread."""

    status: int
    body: bytes


class _OneWriteConnection(HTTPConnection):
    """Sends head and body of a request in one write.

    Two writes wake the server twice and cost two system calls.
    """

    _held: list[bytes] | None = None

    def request(self, *args: Any, **options: Any) -> None:
        """Send a request whose body is bytes."""
        self._held = []
        super().request(*args, **options)
        whole = b''.join(self._held)
        self._held = None
        self.send(whole)

    def send(self, data: Any) -> None:
        """Hold what belongs to a request back until it is whole."""
        if self._held is None:
            super().send(data)
        else:
            self._held.append(data)


@attrs.define(kw_only=True)
class BackendConnection:
    """Carries one call at a time."""

    _http: HTTPConnection
    _most_bytes: int

    @property
    def alive(self) -> bool:
        """Whether the server has not closed it, as far as is known here."""
        return self._http.is_connected

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Connect; a failure is `NOT_RUN`, as no byte was sent."""
        self._http.timeout = timeout_ms / _MS
        try:
            self._http.connect()
        except (HTTPError, OSError) as error:
            return Bad(not_run(FailureCode.UNREACHABLE, _says(error)))
        return Success(None)

    def carry(self, call: BackendCall) -> Result[BackendResponse, Failure]:
        """Make one call and read its reply.

        Returns:
            The response, or a failure that may have run: bytes were sent.
        """
        self._http.timeout = call.timeout_ms / _MS
        try:
            return self._exchange(call)
        except (HTTPError, HTTPException, OSError) as error:
            return Bad(may_have_run(FailureCode.UNREACHABLE, _says(error)))

    def close(self) -> None:
        """Close it; what still arrives is lost."""
        self._http.close()

    def _exchange(
        self,
        call: BackendCall,
    ) -> Result[BackendResponse, Failure]:
        has_body = call.body is not None
        self._http.request(
            'POST' if has_body else 'GET',
            call.path,
            body=json.dumps(call.body).encode() if has_body else None,
            headers=_HEADERS,
            preload_content=False,
        )
        response = self._http.getresponse()
        body = response.read(self._most_bytes + 1)
        if len(body) > self._most_bytes:
            detail = f'the reply is longer than {self._most_bytes} bytes'
            return Bad(may_have_run(FailureCode.BAD_REPLY, detail))
        response.release_conn()
        return Success(BackendResponse(status=response.status, body=body))


def backend_connection(
    address: Address,
    most_bytes: int,
) -> BackendConnection:
    """Build a connection that is not open yet.

    Args:
        address: of the server.
        most_bytes: the largest reply that is read.
    """
    http = _OneWriteConnection(
        address.host,
        address.port,
        socket_options=_OPTIONS,
    )
    return BackendConnection(http=http, most_bytes=most_bytes)


def _says(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
