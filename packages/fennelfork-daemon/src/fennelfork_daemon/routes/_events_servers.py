"""Log events about backend servers; see `_events`."""

from typing import ClassVar

import attrs


@attrs.frozen(kw_only=True)
class ServerSeen:
    """A backend server registered itself, restarted, or changed its draining.

    Attributes:
        server: name of the backend server.
        service: name of the service.
        address: address of the backend server.
        data_centre: data centre of the backend server.
        draining: whether the backend server is draining.
    """

    event: ClassVar[str] = 'server_seen'
    server: str
    service: str
    address: str
    data_centre: str
    draining: bool


@attrs.frozen(kw_only=True)
class ServerGone:
    """The entry of a backend server was removed from the store.

    The backend server receives no further attempts.

    Attributes:
        server: name of the backend server.
    """

    event: ClassVar[str] = 'server_gone'
    server: str


@attrs.frozen(kw_only=True)
class EvacuationStarted:
    """An operator evacuated a data centre; its servers get no new requests.

    Attributes:
        data_centre: name of the data centre.
        servers: number of registered backend servers there; 0 may mean that
            no data centre has this name.
    """

    event: ClassVar[str] = 'evacuation_started'
    data_centre: str
    servers: int


@attrs.frozen(kw_only=True)
class EvacuationEnded:
    """An operator ended the evacuation of a data centre.

    Attributes:
        data_centre: name of the data centre.
    """

    event: ClassVar[str] = 'evacuation_ended'
    data_centre: str


@attrs.frozen(kw_only=True)
class ServerEjected:
    """A backend server was ejected.

    Attributes:
        server: name of the backend server.
        service: name of the service.
        for_ms: duration of the ejection.
        reason: outcome of the last attempt.
        outstanding: number of attempts of this daemon in flight.
    """

    event: ClassVar[str] = 'server_ejected'
    server: str
    service: str
    for_ms: int
    reason: str
    outstanding: int


@attrs.frozen(kw_only=True)
class ServerBack:
    """A backend server completed the slow start after an ejection.

    Attributes:
        server: name of the backend server.
        service: name of the service.
    """

    event: ClassVar[str] = 'server_back'
    server: str
    service: str


@attrs.frozen(kw_only=True)
class ServerEnded:
    """A backend server crashed during an attempt of this daemon.

    Attributes:
        server: name of the backend server.
        service: name of the service.
        request: ID of the request.
        fingerprint: hash of the content of the request, equal for all
            transmissions.
        after_ms: time since the start of the attempt.
        alone: whether the attempt was isolated.
    """

    event: ClassVar[str] = 'server_ended'
    server: str
    service: str
    request: str
    fingerprint: str
    after_ms: int
    alone: bool
