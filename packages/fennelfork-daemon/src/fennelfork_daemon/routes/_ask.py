"""A caller's request to a route, and what a backend server answered."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork.routes import fingerprint
from fennelfork_daemon.backend._call import HeaderPairs

# Headers that concern only one connection (RFC 9110, 7.6.1), and the length,
# which is told anew for the body as it is passed on.
_ONE_CONNECTION: Final = frozenset(
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

# Headers by which servers know callers apart. Others may differ from one try to
# the next, as those that trace a request do.
_CREDENTIALS: Final = frozenset(('authorization', 'cookie'))


@attrs.frozen(kw_only=True)
class Ask:
    """A request of a caller.

    Attributes:
        method: of the request.
        target: path and query, as sent.
        host: the host that it names, without a port.
        headers: those that are passed on.
        body: its bytes, or none if it has no body.
        request_id: names this one try of the caller.
        left_ms: how long the caller waits, if it said so.
        fingerprint: the same for each try of one caller with one request. Of
            callers it has what servers see of them: whoever sends the same
            from another address sends the same request.
    """

    method: str
    target: str
    host: str
    headers: HeaderPairs
    body: bytes | None
    request_id: str
    left_ms: float | None
    fingerprint: str = attrs.field(init=False)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]

    @fingerprint.default
    def _name_content(self) -> str:
        said = [self.method, self.host, self.target]
        for name, text in sorted(self.headers):
            if name.lower() in _CREDENTIALS:
                said += (name.lower(), text)
        parts = (part.encode(errors='surrogateescape') for part in said)
        return fingerprint((self.body or b'', *parts))


@attrs.frozen(kw_only=True)
class BackendAnswer:
    """A whole answer of a backend server to one request.

    Attributes:
        status: the HTTP status.
        headers: as it sent them.
        body: its bytes.
        signature: by which the caller knows the server's answer.
    """

    status: int
    headers: HeaderPairs
    body: bytes
    signature: str


def end_to_end(headers: Iterable[tuple[str, str]]) -> HeaderPairs:
    """Leave out the headers that concern only one connection."""
    given = tuple(headers)
    named = {
        word.strip().lower()
        for name, text in given
        if name.lower() == 'connection'
        for word in text.split(',')
    }
    dropped = _ONE_CONNECTION | named
    return tuple(
        (name, text) for name, text in given if name.lower() not in dropped
    )
