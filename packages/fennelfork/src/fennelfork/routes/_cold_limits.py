"""Limits on the requests to cold backend servers.

A cold server tolerates a number of requests per second from all daemons
together. Each daemon uses its part of this number without asking the others.
"""

import math
from collections.abc import Mapping
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.membership import FleetShare
from fennelfork.routes._evacuations import Evacuations
from fennelfork.routes._route_table import Service
from fennelfork.routes._server_directory import BackendServer
from fennelfork.routes._server_state import ServerState

# Window of the limits on requests to cold servers.
COLD_WINDOW_MS: Final = 1000.0
# Fraction of the limit that is used; the rest covers requests that arrive later
# than they were counted.
_MARGIN: Final = 0.5


@attrs.frozen(kw_only=True)
class ColdPolicy:
    """Bound on the requests of all daemons to one cold server in a second.

    Attributes:
        rate_factor: factor on the rate that the servers of a service tolerate.
        slack: number of requests in addition.
    """

    rate_factor: float = 1
    slack: float = 0

    def max_per_second(self, service: Service) -> float:
        """Return the bound for a service, infinite if it states no rate."""
        if not service.cold_rate_per_s:
            return math.inf
        return service.cold_rate_per_s * self.rate_factor + self.slack


@attrs.define(kw_only=True)
class ColdLimits:
    """Part of this daemon in the requests that cold servers may get.

    Attributes:
        policy: bound on the requests of all daemons.
        services: services of the active configuration, by name.
    """

    policy: ColdPolicy
    services: Mapping[str, Service] = attrs.field(factory=dict)
    _clock: Clock
    _fleet_share: FleetShare
    _evacuations: Evacuations

    def is_cold(self, server: BackendServer) -> bool:
        """Whether a server may be cold.

        A server is cold after its start and, as no daemon has used it, after
        an evacuation of its data centre.
        """
        now_ms = self._clock.now_ms()
        if now_ms < server.warm_from_ms:
            return True
        ended_ms = self._evacuations.ended_ms(server.data_centre)
        if ended_ms is None:
            return False
        service = self.services.get(server.service)
        return service is not None and now_ms < ended_ms + service.warm_up_ms

    def may_send(self, server: BackendServer, state: ServerState) -> bool:
        """Whether this daemon may send one more request to a server now."""
        bound = self._bound_for(server)
        if bound == math.inf:
            return True
        oldest_ms = self._clock.now_ms() - COLD_WINDOW_MS
        state.cold_sends_ms = [
            sent_ms for sent_ms in state.cold_sends_ms if sent_ms >= oldest_ms
        ]
        own_part = self._fleet_share.units_of(
            bound * _MARGIN, server.incarnation
        )
        return len(state.cold_sends_ms) < own_part

    def record_sent(self, server: BackendServer, state: ServerState) -> None:
        """Record a request to a server, which counts if it has a limit."""
        if self._bound_for(server) < math.inf:
            state.cold_sends_ms.append(self._clock.now_ms())

    def _bound_for(self, server: BackendServer) -> float:
        """Return how many requests all daemons may send in a second."""
        service = self.services.get(server.service)
        if service is None or not self.is_cold(server):
            return math.inf
        return self.policy.max_per_second(service)
