"""Request of a caller to a route and response of a backend server."""

import functools
from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork.routes import fingerprint
from fennelfork.workspaces import Workspace
from fennelfork_daemon.backend._request import HeaderPairs

# Hop-by-hop headers (RFC 9110, 7.6.1) and the content length, which is
# recomputed for the forwarded body.
_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)

# Headers that identify the caller to backend servers. Other headers, such as
# trace IDs, may differ between two transmissions of the same request.
_CREDENTIALS: Final = frozenset(('authorization', 'cookie'))


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Request of a caller.

    Attributes:
        method: HTTP method.
        target: path and query, as sent by the caller.
        host: host name in the request, without a port.
        headers: headers to forward.
        body: bytes of the body, or none for a request without a body.
        request_id: ID of this transmission of the request.
        left_ms: timeout of the caller in milliseconds, or none if the request
            does not carry a timeout.
        workspace: workspace that the request belongs to, or none if the
            request is on a public route or no workspace is configured.
        keys: keys that the caller sent, until the request is authorized.
    """

    method: str
    target: str
    host: str
    headers: HeaderPairs = attrs.field(repr=False)
    body: bytes | None
    request_id: str
    left_ms: float | None
    workspace: Workspace | None = None
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)

    @property
    def path(self) -> str:
        """Path of the request, without the query."""
        return self.target.partition('?')[0]

    @functools.cached_property
    def fingerprint(self) -> str:
        """Hash of all parts that identify the request to backend servers.

        The parts are the method, host, target, body, credentials and
        workspace. The fingerprint is equal for all transmissions of a request
        and does not depend on the address of the caller.
        """
        fields = [self.method, self.host, self.target]
        for name, text in sorted(self.headers):
            if name.lower() in _CREDENTIALS:
                fields += (name.lower(), text)
        if self.workspace is not None:
            fields += ('workspace', self.workspace.name)
        parts = (field.encode(errors='surrogateescape') for field in fields)
        return fingerprint((self.body or b'', *parts))


@attrs.frozen(kw_only=True)
class SignedResponse:
    """Complete response of a backend server to one request.

    Attributes:
        status: HTTP status.
        headers: headers as sent by the backend server.
        body: bytes of the body.
        signature: signature with which the caller verifies the response.
    """

    status: int
    headers: HeaderPairs
    body: bytes
    signature: str


def remove_hop_by_hop_headers(
    headers: Iterable[tuple[str, str]],
) -> HeaderPairs:
    """Return the headers without the hop-by-hop headers."""
    all_headers = tuple(headers)
    connection_options = {
        option.strip().lower()
        for name, text in all_headers
        if name.lower() == 'connection'
        for option in text.split(',')
    }
    dropped = _HOP_BY_HOP | connection_options
    return tuple(
        (name, text)
        for name, text in all_headers
        if name.lower() not in dropped
    )
