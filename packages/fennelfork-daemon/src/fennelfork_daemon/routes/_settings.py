"""Settings of a daemon that serves routes."""

from collections.abc import Mapping

import attrs

from fennelfork.routes import ColdPolicy, RetryPolicy
from fennelfork.workspaces import AccessPolicy, QuotaPolicy
from fennelfork_daemon._address import Address


@attrs.frozen(kw_only=True)
class RouteSettings:
    """Settings of one daemon that serves routes.

    Attributes:
        name: name of this daemon, unique in the fleet.
        region: region of this daemon.
        data_centre: data centre of this daemon.
        region_of: region of each data centre.
        caller: address of the caller API.
        readiness: address of the readiness endpoint.
        entries: address of the endpoint that returns the daemons to use.
        operator: address of the operator API, or None to disable it.
        store: address of the platform's store.
        repeats: retry budget of the whole fleet.
        stop_ms: time from the start of a stop until the process is killed.
        least_lease_ms: minimum lease duration that the store grants.
        in_force_ms: maximum time between a write to the store and its
            application by every daemon.
        cold: bound on the requests of the whole fleet to a cold server.
        access: bound on the use of keys that were removed.
        peer: address at which other daemons ask for updates of the store, or
            None to pass on no updates.
        processor_cores: processor time per second of the VM, in cores of a
            reference speed; 0 if unknown.
        quota: bound on the requests of one workspace at all daemons.
    """

    name: str
    region: str
    data_centre: str
    region_of: Mapping[str, str]
    caller: Address
    readiness: Address
    entries: Address
    operator: Address | None
    store: Address
    repeats: RetryPolicy
    stop_ms: float
    least_lease_ms: float
    in_force_ms: float
    cold: ColdPolicy = ColdPolicy()
    access: AccessPolicy = AccessPolicy()
    peer: Address | None = None
    processor_cores: float = 0
    quota: QuotaPolicy = QuotaPolicy()
