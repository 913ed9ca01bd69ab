"""Share of this daemon in the connection limit of each backend server."""

from collections.abc import Mapping
from typing import Final

import attrs

from fennelfork.routes._fleet_maximum import FleetMaximum
from fennelfork.routes._route_table import Service

# Enough for one request and the hedge of another request.
_MIN_CONNECTIONS: Final = 2
# Connection limit of a service that is not in the configuration.
_DEFAULT_CONNECTIONS: Final = 8
# Number of daemons that is assumed until all daemons had time to register. A
# daemon that takes the share of a fleet of one or two opens more connections
# than the servers accept, and ejects all servers because of the resets.
_MIN_UNSETTLED_FLEET: Final = 10


@attrs.define(kw_only=True)
class ConnectionShares:
    """Divides the connection limit of backend servers among daemons.

    Attributes:
        services: services of the active configuration, by name.
    """

    _limit_divisor: FleetMaximum
    services: Mapping[str, Service] = attrs.field(factory=dict)

    @property
    def is_settled(self) -> bool:
        """Whether daemons that started at the same time could register."""
        return self._limit_divisor.is_settled

    def connection_limit_for(self, service: str) -> int:
        """Return the maximum number of connections to a server of a service."""
        known = self.services.get(service)
        limit = _DEFAULT_CONNECTIONS if known is None else known.connections
        divisor = self._limit_divisor.maximum
        if not self._limit_divisor.is_settled:
            divisor = max(divisor, _MIN_UNSETTLED_FLEET)
        return max(_MIN_CONNECTIONS, int(limit / divisor))
