"""Log lines on backend servers; see `_events`."""

from typing import ClassVar

import attrs


@attrs.frozen(kw_only=True)
class ServerSeen:
    """A backend server registered itself, started again, or drains."""

    event: ClassVar[str] = 'server_seen'
    server: str
    service: str
    address: str
    data_centre: str
    draining: bool


@attrs.frozen(kw_only=True)
class ServerGone:
    """A backend server is not used any more."""

    event: ClassVar[str] = 'server_gone'
    server: str


@attrs.frozen(kw_only=True)
class ServerEjected:
    """A backend server gets no work for a while.

    Attributes:
        for_ms: for how long.
        reason: what came of the last call.
        outstanding: requests of this daemon that it has not answered.
    """

    event: ClassVar[str] = 'server_ejected'
    server: str
    service: str
    for_ms: int
    reason: str
    outstanding: int


@attrs.frozen(kw_only=True)
class ServerBack:
    """A backend server that was ejected answers well and has all its slots."""

    event: ClassVar[str] = 'server_back'
    server: str
    service: str


@attrs.frozen(kw_only=True)
class ServerEnded:
    """A backend server ended while it had a request of this daemon.

    Attributes:
        request: its id.
        fingerprint: of the request, the same when it comes again.
        after_ms: since it was sent there.
        alone: whether no other server was risked with it.
    """

    event: ClassVar[str] = 'server_ended'
    server: str
    service: str
    request: str
    fingerprint: str
    after_ms: int
    alone: bool
