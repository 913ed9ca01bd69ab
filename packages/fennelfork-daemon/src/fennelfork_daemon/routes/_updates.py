"""Updates from the store, one for each entry."""

import attrs

from fennelfork.membership import Member
from fennelfork.routes import BackendServer, RouteTable, SuspicionRecord


@attrs.frozen(kw_only=True)
class ConfigUpdate:
    """The configuration was changed."""

    table: RouteTable


@attrs.frozen(kw_only=True)
class ServerUpdate:
    """A backend server registered or changed its registration."""

    server: BackendServer


@attrs.frozen(kw_only=True)
class ServerRemoved:
    """The registration of a backend server was removed."""

    instance: str


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """A daemon registered or changed its registration.

    Attributes:
        member: entry of the daemon.
        lease: lease to which the entry is attached, 0 for none.
    """

    member: Member
    lease: int = 0


@attrs.frozen(kw_only=True)
class MemberRemoved:
    """The registration of a daemon was removed."""

    name: str


@attrs.frozen(kw_only=True)
class EvacuationUpdate:
    """An operator requested the evacuation of a data centre."""

    data_centre: str


@attrs.frozen(kw_only=True)
class EvacuationRemoved:
    """An operator ended the evacuation of a data centre."""

    data_centre: str


@attrs.frozen(kw_only=True)
class SuspicionUpdate:
    """A daemon published the suspicion of a poison request.

    Attributes:
        record: published record of the suspicion.
        revision: revision of the store at which the record was written.
        lease: lease to which the entry is attached, 0 for none.
    """

    record: SuspicionRecord
    revision: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class SuspicionRemoved:
    """The entry of a suspected request was removed."""

    fingerprint: str


@attrs.frozen(kw_only=True)
class InvalidEntry:
    """An entry has invalid content and replaces a possibly valid one.

    Attributes:
        key: key of the entry.
        problem: description of the error.
        instance: backend server to which the key belongs, or empty.
        member: daemon to which the key belongs, or empty.
    """

    key: str
    problem: str
    instance: str = ''
    member: str = ''


StoreUpdate = (
    ConfigUpdate
    | ServerUpdate
    | ServerRemoved
    | MemberUpdate
    | MemberRemoved
    | EvacuationUpdate
    | EvacuationRemoved
    | SuspicionUpdate
    | SuspicionRemoved
    | InvalidEntry
)
