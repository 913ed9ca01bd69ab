"""What a daemon that serves routes is told at its start."""

from collections.abc import Mapping

import attrs

from fennelfork.routes import RetryPolicy
from fennelfork_daemon._address import Address


@attrs.frozen(kw_only=True)
class RouteSettings:
    """Settings of one daemon that serves routes.

    Attributes:
        name: of this daemon, unique in the fleet.
        region: where it runs.
        data_centre: where it runs, within the region.
        region_of: the region of each data centre.
        caller: where it listens for callers.
        readiness: where it tells whether it is ready.
        entries: where it tells callers which daemons to use.
        operator: where it serves its metrics.
        store: where the platform's store listens.
        repeats: what all daemons together may repeat.
        stop_ms: how long a stop may take until the process is killed.
        least_lease_ms: the shortest lease that the store grants.
        in_force_ms: how soon after the store took a change, of routes or of a
            server that leaves, every daemon has to go by it.
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
