"""What the store tells, one fact an item."""

import attrs

from fennelfork.membership import Member
from fennelfork.routes import BackendServer, RouteTable, SuspicionRecord


@attrs.frozen(kw_only=True)
class ConfigFact:
    """The newest configuration."""

    table: RouteTable


@attrs.frozen(kw_only=True)
class ServerFact:
    """A backend server registered itself, or changed what it registered."""

    server: BackendServer


@attrs.frozen(kw_only=True)
class ServerGoneFact:
    """The registration of a backend server is gone."""

    instance: str


@attrs.frozen(kw_only=True)
class MemberFact:
    """A daemon registered itself."""

    member: Member


@attrs.frozen(kw_only=True)
class MemberGoneFact:
    """The registration of a daemon is gone."""

    name: str


@attrs.frozen(kw_only=True)
class SuspicionFact:
    """A daemon told of a request under which backend servers ended.

    Attributes:
        record: what it told.
        revision: of the store, by which it was written.
    """

    record: SuspicionRecord
    revision: int


@attrs.frozen(kw_only=True)
class SuspicionGoneFact:
    """Nothing is remembered of a request any more."""

    fingerprint: str


@attrs.frozen(kw_only=True)
class UnreadableFact:
    """An item that could not be read; it may have been readable before.

    Attributes:
        key: of the item.
        problem: what is wrong with it.
        instance: the backend server that it is to name, empty if none.
        member: the daemon that it is to name, empty if none.
    """

    key: str
    problem: str
    instance: str = ''
    member: str = ''


Fact = (
    ConfigFact
    | ServerFact
    | ServerGoneFact
    | MemberFact
    | MemberGoneFact
    | SuspicionFact
    | SuspicionGoneFact
    | UnreadableFact
)
