"""How many connections to a backend server this daemon may open."""

from collections.abc import Mapping
from typing import Final

import attrs

from fennelfork.routes._fleet_size import FleetSize
from fennelfork.routes._route_table import Service

# Fewer could not carry a request and the second copy of another.
_FEWEST: Final = 2
_UNKNOWN: Final = 8
# Daemons to share with until the fleet was seen for a while: one that took the
# share of a fleet of one or two after a loss of all power had connections
# reset and all servers ejected for 500 ms.
_UNSEEN: Final = 10


@attrs.define(kw_only=True)
class ConnectionShares:
    """An equal part of each server's limit for every daemon.

    Attributes:
        services: of the configuration in force.
    """

    _fleet: FleetSize
    services: Mapping[str, Service] = attrs.field(factory=dict)

    @property
    def settled(self) -> bool:
        """Whether others that started with this daemon had time to be seen."""
        return self._fleet.settled

    def of(self, service: str) -> int:
        """Give the limit for each server of a service."""
        known = self.services.get(service)
        limit = _UNKNOWN if known is None else known.connections
        daemons = self._fleet.most
        if not self._fleet.settled:
            daemons = max(daemons, _UNSEEN)
        return max(_FEWEST, limit // daemons)
