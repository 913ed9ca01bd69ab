"""HTTP requests to backend servers and their responses."""

import functools
import json
from collections.abc import Callable
from typing import Any, Final

import attrs
from returns.result import Result, Success
from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from fennelfork import Failure

_HEADERS: Final = {'Content-Type': 'application/json'}
# urllib3 adds these headers unless they are skipped explicitly.
_OMITTED_HEADERS: Final = ('Accept-Encoding', 'User-Agent')

HeaderPairs = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class JsonRequest:
    """Request with an optional JSON body.

    Attributes:
        path: path of the request.
        body: content of the JSON body; a request without a body is a GET.
        timeout_ms: timeout for the complete response, in milliseconds.
        fresh: whether the request needs a new connection.
    """

    path: str
    body: dict[str, Any] | None
    timeout_ms: float
    fresh: bool = False


@attrs.frozen(kw_only=True)
class BackendResponse:
    """Response of a backend server with an undecoded body."""

    status: int
    body: bytes
    headers: HeaderPairs = ()

    def header(self, name: str) -> str | None:
        """Return the first header with a name, which is case-insensitive."""
        name_lower = name.lower()
        for header_name, text in self.headers:
            if header_name.lower() == name_lower:
                return text
        return None


def _no_headers() -> HeaderPairs:
    return ()


def _accept_any(response: BackendResponse) -> Result[BackendResponse, Failure]:
    return Success(response)


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """Request whose method, headers and body are forwarded unchanged.

    Attributes:
        method: HTTP method.
        target: path and query string.
        headers: all headers that do not depend on the time, except
            Content-Length.
        body: bytes of the body, if any.
        timeout_ms: timeout for the complete response, in milliseconds.
        connect_ms: timeout for a new connection, in milliseconds; at most
            `timeout_ms` applies.
        fresh: whether the request needs a new connection.
        timed_headers: function that returns the headers that depend on the time
            at which the request is written.
        check: function that fails for a response to another request; the
            connection of such a response is closed.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes | None
    timeout_ms: float
    connect_ms: float
    fresh: bool = False
    timed_headers: Callable[[], HeaderPairs] = _no_headers
    check: Callable[[BackendResponse], Result[BackendResponse, Failure]] = (
        _accept_any
    )


AnyRequest = JsonRequest | ForwardRequest


@functools.singledispatch
def send_request(request: Any, http: HTTPConnection) -> None:
    """Send a request on an open connection.

    Raises:
        TypeError: if the type of the request is not supported.
    """
    raise TypeError(f'the request has an unsupported type: {request!r}')


@send_request.register
def _send_json(request: JsonRequest, http: HTTPConnection) -> None:
    has_body = request.body is not None
    http.request(
        'POST' if has_body else 'GET',
        request.path,
        body=json.dumps(request.body).encode() if has_body else None,
        headers=_HEADERS,
        preload_content=False,
    )


@send_request.register
def _send_forward(request: ForwardRequest, http: HTTPConnection) -> None:
    headers = HTTPHeaderDict(request.headers + request.timed_headers())
    for name in _OMITTED_HEADERS:
        headers.setdefault(name, SKIP_HEADER)
    http.request(
        request.method,
        request.target,
        body=request.body,
        headers=headers,
        preload_content=False,
    )
