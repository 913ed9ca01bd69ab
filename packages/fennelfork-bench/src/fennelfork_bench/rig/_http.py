"""HTTP calls of the rig to daemons and stand-ins."""

import json
from collections.abc import Mapping
from typing import Any, Final

import attrs
import urllib3

_TIMEOUT_MS: Final = 5000
_MS_PER_S: Final = 1000
_CREATED: Final = 300
_POOLS: Final = 256
_POOL_SIZE: Final = 64


@attrs.frozen(kw_only=True)
class HttpReply:
    """What came back.

    Attributes:
        status: the HTTP status; 0 if no answer came.
        body: the JSON object, empty if there was none.
        fault: why no answer came.
    """

    status: int
    body: dict[str, Any]
    fault: str = ''

    @property
    def fine(self) -> bool:
        """Whether the call succeeded."""
        return 0 < self.status < _CREATED


_manager: Final = urllib3.PoolManager(
    num_pools=_POOLS,
    maxsize=_POOL_SIZE,
    retries=False,
)


def get(address: str, path: str, timeout_ms: float = _TIMEOUT_MS) -> HttpReply:
    """Call with GET; see `request`."""
    return request('GET', f'http://{address}{path}', None, timeout_ms)


def get_text(address: str, path: str) -> str:
    """Read a page that is not JSON; empty if there was no answer."""
    try:
        reply = _manager.request(
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
) -> HttpReply:
    """Call with POST; see `request`."""
    return request('POST', f'http://{address}{path}', body, timeout_ms)


def put(address: str, path: str, body: Mapping[str, Any]) -> HttpReply:
    """Call with PUT; see `request`."""
    return request('PUT', f'http://{address}{path}', body)


def request(
    method: str,
    url: str,
    body: Mapping[str, Any] | None,
    timeout_ms: float = _TIMEOUT_MS,
) -> HttpReply:
    """Make one call without retries.

    Args:
        method: the HTTP method.
        url: where to.
        body: sent as JSON; none sends no body.
        timeout_ms: for connecting and for each read.

    Returns:
        The reply; one of status 0 if none came.
    """
    payload = None if body is None else json.dumps(body).encode()
    try:
        reply = _manager.request(
            method,
            url,
            body=payload,
            headers={'Content-Type': 'application/json'},
            timeout=timeout_ms / _MS_PER_S,
        )
    except urllib3.exceptions.HTTPError as error:
        return HttpReply(status=0, body={}, fault=type(error).__name__)
    return HttpReply(status=reply.status, body=_object(reply.data))


def _object(raw: bytes) -> dict[str, Any]:
    try:
        parsed = json.loads(raw or b'{}')
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {'list': parsed}
