"""How many connections to a backend server this daemon may open."""

from collections.abc import Mapping
from typing import Final

import attrs

from fennelfork.routes._fleet_size import FleetSize
from fennelfork.routes._route_table import Service

# Fewer could not carry a request and the second copy of another.
_FEWEST: Final = 2
_UNKNOWN: Final = 8


@attrs.define(kw_only=True)
class ConnectionShares:
    """An equal part of each server's limit for every daemon.

    Attributes:
        services: of the configuration in force.
    """

    _fleet: FleetSize
    services: Mapping[str, Service] = attrs.field(factory=dict)

    def of(self, service: str) -> int:
        """Give the limit for each server of a service."""
        known = self.services.get(service)
        limit = _UNKNOWN if known is None else known.connections
        return max(_FEWEST, limit // self._fleet.most)
