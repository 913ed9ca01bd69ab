"""HTTP client of the rig for daemons and stand-ins."""

import json
from collections.abc import Mapping
from typing import Any, Final

import attrs
import urllib3

_TIMEOUT_MS: Final = 5000
_MS_PER_S: Final = 1000
_MIN_REDIRECT_STATUS: Final = 300
_MAX_POOLS: Final = 256
_MAX_POOL_CONNECTIONS: Final = 64


@attrs.frozen(kw_only=True)
class HttpResponse:
    """HTTP response, or the error that prevented a response.

    Attributes:
        status: HTTP status code; 0 without a response.
        body: JSON object of the response; empty without a JSON body.
        fault: class name of the client error; empty after a response.
    """

    status: int
    body: dict[str, Any]
    fault: str = ''

    @property
    def is_success(self) -> bool:
        """Whether the response has a status code of success."""
        return 0 < self.status < _MIN_REDIRECT_STATUS


_pool_manager: Final = urllib3.PoolManager(
    num_pools=_MAX_POOLS,
    maxsize=_MAX_POOL_CONNECTIONS,
    retries=False,
)


def get(
    address: str, path: str, timeout_ms: float = _TIMEOUT_MS
) -> HttpResponse:
    """Send a GET request; see `request`."""
    return request('GET', f'http://{address}{path}', None, timeout_ms)


def get_text(address: str, path: str) -> str:
    """Fetch a page as text; return an empty string without a response."""
    try:
        reply = _pool_manager.request(
            'GET',
            f'http://{address}{path}',
            timeout=_TIMEOUT_MS / _MS_PER_S,
        )
    except urllib3.exceptions.HTTPError:
        return ''
    return reply.data.decode()


def post(
    address: str,
    path: str,
    body: Mapping[str, Any],
    timeout_ms: float = _TIMEOUT_MS,
) -> HttpResponse:
    """Send a POST request; see `request`."""
    return request('POST', f'http://{address}{path}', body, timeout_ms)


def put(address: str, path: str, body: Mapping[str, Any]) -> HttpResponse:
    """Send a PUT request; see `request`."""
    return request('PUT', f'http://{address}{path}', body)


def request(
    method: str,
    url: str,
    body: Mapping[str, Any] | None,
    timeout_ms: float = _TIMEOUT_MS,
) -> HttpResponse:
    """Send one HTTP request without retries.

    Args:
        method: HTTP method.
        url: URL of the request.
        body: object to send as JSON; `None` sends no body.
        timeout_ms: timeout of the connect and of each read.

    Returns:
        The response; its status is 0 if the request failed.
    """
    payload = None if body is None else json.dumps(body).encode()
    try:
        reply = _pool_manager.request(
            method,
            url,
            body=payload,
            headers={'Content-Type': 'application/json'},
            timeout=timeout_ms / _MS_PER_S,
        )
    except urllib3.exceptions.HTTPError as error:
        return HttpResponse(status=0, body={}, fault=type(error).__name__)
    return HttpResponse(status=reply.status, body=_decode_object(reply.data))


def _decode_object(raw: bytes) -> dict[str, Any]:
    try:
        parsed = json.loads(raw or b'{}')
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {'list': parsed}
