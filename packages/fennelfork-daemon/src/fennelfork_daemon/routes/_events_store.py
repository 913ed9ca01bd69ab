"""Log events about the store; see `_events`."""

from typing import ClassVar

import attrs


@attrs.frozen(kw_only=True)
class StoreLost:
    """The store is unavailable.

    Attributes:
        call: kind of the call that failed; see `StoreCall`.
        reason: description of the failure.
    """

    event: ClassVar[str] = 'store_lost'
    call: str
    reason: str


@attrs.frozen(kw_only=True)
class StoreRegained:
    """The store is available again.

    Attributes:
        away_ms: time since the previous response to any call.
        told_ms: time since the store data was last read or confirmed as
            current.
        failed_calls: number of calls that failed in the meantime.
    """

    event: ClassVar[str] = 'store_regained'
    away_ms: int
    told_ms: int
    failed_calls: int


@attrs.frozen(kw_only=True)
class StoreRestored:
    """The store returned from an older copy, without its latest changes.

    Attributes:
        era_before: era of the store that ended.
        era: era of the store that began.
        revision: revision of the era that ended up to which the daemon had
            read the store, or None.
        lease: lease of the daemon of the era that ended, or None.
    """

    event: ClassVar[str] = 'store_restored'
    era_before: int
    era: int
    revision: int | None
    lease: int | None


@attrs.frozen(kw_only=True)
class LeaseGranted:
    """This daemon is registered under a new lease.

    Attributes:
        lease: ID of the lease in the store.
        ttl_ms: time after which the lease expires without a renewal.
    """

    event: ClassVar[str] = 'lease_granted'
    lease: int
    ttl_ms: int


@attrs.frozen(kw_only=True)
class LeaseAdopted:
    """This daemon continues the registration of its earlier process.

    Attributes:
        lease: ID of the lease in the store.
    """

    event: ClassVar[str] = 'lease_adopted'
    lease: int


@attrs.frozen(kw_only=True)
class LeaseLapsed:
    """The lease of this daemon expired.

    Attributes:
        lease: ID of the lease in the store.
        renewed_ms_ago: time since the last successful renewal.
    """

    event: ClassVar[str] = 'lease_lapsed'
    lease: int
    renewed_ms_ago: int


@attrs.frozen(kw_only=True)
class ConfigTaken:
    """The daemon activated a version of the configuration.

    Attributes:
        version: new active version.
        before: previous active version, zero for none.
        routes: number of routes in the new version.
    """

    event: ClassVar[str] = 'config_taken'
    version: int
    before: int
    routes: int


@attrs.frozen(kw_only=True)
class ItemRefused:
    """An entry of the store is invalid and is ignored.

    Attributes:
        key: key of the entry.
        reason: description of the error.
    """

    event: ClassVar[str] = 'item_refused'
    key: str
    reason: str
