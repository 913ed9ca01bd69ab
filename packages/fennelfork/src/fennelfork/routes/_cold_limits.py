"""Limits on the requests to cold backend servers.

A cold server tolerates a number of requests per second from all daemons
together. Each daemon uses its part of this number without asking the others.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs
import xxhash

from fennelfork._clock import Clock
from fennelfork.membership import Member, capable_in_data_centres
from fennelfork.routes._evacuations import Evacuations
from fennelfork.routes._fleet_maximum import FleetMaximum
from fennelfork.routes._route_table import Service
from fennelfork.routes._server_directory import BackendServer
from fennelfork.routes._server_state import ServerState

_WINDOW_MS: Final = 1000.0
# Part of the limit that is used. The rest covers daemons that have joined but
# are not known everywhere yet: a fleet may double in size at once.
_MARGIN: Final = 0.5
# Part of the fleet that has to be known for a rank in it. The daemons that are
# missing may run and rank themselves, which the margin covers.
_MIN_KNOWN: Final = 0.5


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
    _limit_divisor: FleetMaximum
    _evacuations: Evacuations
    _local: Member
    _members: Callable[[], Iterable[Member]]

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
        oldest_ms = self._clock.now_ms() - _WINDOW_MS
        state.cold_sends_ms = [
            sent_ms for sent_ms in state.cold_sends_ms if sent_ms >= oldest_ms
        ]
        used = len(state.cold_sends_ms)
        return used < self._own_part(bound * _MARGIN, server)

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

    def _own_part(self, total: float, server: BackendServer) -> int:
        """Return how many requests in a second this daemon may send.

        If there is less than one request for each daemon, a few daemons may
        send one each. These differ from server to server.

        Args:
            total: number of requests that all daemons may send.
            server: cold server.
        """
        if not self._limit_divisor.is_settled:
            return 0
        part = total / self._limit_divisor.maximum
        if part >= 1:
            return int(part)
        return int(self._rank_for(server) < int(total))

    def _rank_for(self, server: BackendServer) -> float:
        """Return the rank of this daemon among those that may send first.

        The rank is infinite while daemons that were known seem to be missing,
        and for daemons that few callers use.
        """
        known = {member.name: member for member in self._members()}
        known[self._local.name] = self._local
        names = [
            member.name for member in capable_in_data_centres(known.values())
        ]
        is_known = len(known) >= self._limit_divisor.maximum * _MIN_KNOWN
        if self._local.name not in names or not is_known:
            return math.inf
        names.sort(key=lambda name: _weight(name, server.incarnation))
        return names.index(self._local.name)


def _weight(*parts: str) -> int:
    return xxhash.xxh64_intdigest('\0'.join(parts).encode())
