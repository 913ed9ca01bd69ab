"""Calls as they go out over HTTP, and what comes back."""

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
# The library adds these of its own accord unless told not to.
_OMITTED_HEADERS: Final = ('Accept-Encoding', 'User-Agent')

HeaderPairs = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class JsonRequest:
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
    headers: HeaderPairs = ()

    def header(self, name: str) -> str | None:
        """Give the first header of a name, whatever its case."""
        name_lower = name.lower()
        for header_name, text in self.headers:
            if header_name.lower() == name_lower:
                return text
        return None


def _accept_any(response: BackendResponse) -> Result[BackendResponse, Failure]:
    return Success(response)


@attrs.frozen(kw_only=True)
class ForwardCall:
    """A call that is sent as it is given.

    Attributes:
        method: of the call.
        target: path and query.
        headers: all headers but the length of the body.
        body: its bytes, if it has any.
        timeout_ms: how long to wait for the whole reply.
        connect_ms: how long a new connection may take, at most `timeout_ms`.
        fresh: open a new connection for it.
        check: fails for a reply that belongs to another call; its connection
            is not used again.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes | None
    timeout_ms: float
    connect_ms: float
    fresh: bool = False
    check: Callable[[BackendResponse], Result[BackendResponse, Failure]] = (
        _accept_any
    )


AnyRequest = JsonRequest | ForwardCall


@functools.singledispatch
def send_request(request: Any, http: HTTPConnection) -> None:
    """Send a call.

    Raises:
        TypeError: for a call of another type.
    """
    raise TypeError(f'not a call: {request!r}')


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
def _send_forward(request: ForwardCall, http: HTTPConnection) -> None:
    headers = HTTPHeaderDict(request.headers)
    for name in _OMITTED_HEADERS:
        headers.setdefault(name, SKIP_HEADER)
    http.request(
        request.method,
        request.target,
        body=request.body,
        headers=headers,
        preload_content=False,
    )
