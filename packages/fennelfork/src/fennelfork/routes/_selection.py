"""Selection of the backend server for an attempt."""

import enum
import random
from collections.abc import Collection, Mapping
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._cold_limits import ColdLimits
from fennelfork.routes._connection_share import ConnectionShares
from fennelfork.routes._home_regions import HomeRegions
from fennelfork.routes._latency_baseline import LatencyBaseline
from fennelfork.routes._server_directory import BackendServer, ServerDirectory
from fennelfork.routes._server_state import ServerState, ServerStates
from fennelfork.servers._rank import Candidate, choose_candidate

# Latency penalties of servers outside the data centre of this daemon. Another
# region adds the round trip and, as traffic between regions is costly, a share
# of the latency target.
_OTHER_REGION_MS: Final = 24.0
_OTHER_REGION_TARGET_FRACTION: Final = 0.19
_OTHER_DATA_CENTRE_MS: Final = 5.0
# Cost of an attempt that fails, as a multiple of the latency target: it takes a
# retry and may make the whole answer late.
_FAILURE_PENALTY_TARGETS: Final = 2.0


@attrs.frozen(kw_only=True)
class Distances:
    """Distances between this daemon and the data centres.

    Attributes:
        data_centre: data centre of this daemon.
        region_of: region of each data centre.
    """

    data_centre: str
    region_of: Mapping[str, str]

    def is_local(self, data_centre: str) -> bool:
        """Whether a data centre is the one of this daemon."""
        return data_centre == self.data_centre

    def is_in_regions(self, data_centre: str, regions: HomeRegions) -> bool:
        """Whether a data centre is in one of the regions that are allowed.

        A data centre whose region is unknown is in none of them.
        """
        return regions is None or self.region_of.get(data_centre) in regions

    def distance_penalty_ms(
        self, data_centre: str, latency_target_ms: float
    ) -> float:
        """Return the latency penalty of servers in a data centre.

        Args:
            data_centre: data centre of the server.
            latency_target_ms: latency target of the route.
        """
        if self.is_local(data_centre):
            return 0
        own_region = self.region_of.get(self.data_centre)
        if (
            own_region is not None
            and self.region_of.get(data_centre) == own_region
        ):
            return _OTHER_DATA_CENTRE_MS
        return (
            _OTHER_REGION_MS + _OTHER_REGION_TARGET_FRACTION * latency_target_ms
        )


class _Availability(enum.IntEnum):
    """Availability of a server for new work; lower values are preferred."""

    AVAILABLE = 0
    BUSY = 1
    UNHEALTHY = 2


_RatedServer = tuple[BackendServer, ServerState]


@attrs.define(kw_only=True)
class _Rated:
    """Servers that may get an attempt, by availability and incarnation."""

    _unresponsive_after_ms: float
    _share: int
    _now_ms: float
    _servers: dict[_Availability, dict[str, _RatedServer]] = attrs.field(
        factory=dict
    )

    def add(self, server: BackendServer, state: ServerState) -> None:
        """Add a server."""
        availability = self._classify(server, state)
        group = self._servers.setdefault(availability, {})
        group[server.incarnation] = (server, state)

    def preferred(self, *, only_healthy: bool) -> dict[str, _RatedServer]:
        """Return the servers with the best availability."""
        if only_healthy:
            self._servers.pop(_Availability.UNHEALTHY, None)
        if not self._servers:
            return {}
        return self._servers[min(self._servers)]

    def _classify(
        self, server: BackendServer, state: ServerState
    ) -> _Availability:
        now_ms = self._now_ms
        is_unresponsive = (
            state.unresponsive_ms(now_ms) > self._unresponsive_after_ms
        )
        if is_unresponsive or state.ejection.is_ejected(now_ms):
            return _Availability.UNHEALTHY
        usable_slots = state.ejection.usable_slots(server.slots, now_ms)
        is_full = state.outstanding >= min(usable_slots, self._share)
        if is_full or state.lacks_connection(now_ms):
            return _Availability.BUSY
        return _Availability.AVAILABLE


@attrs.frozen(kw_only=True)
class SelectionCriteria:
    """Criteria for the selection of a server.

    Attributes:
        service: name of the service that the server has to belong to.
        tried: incarnations that are excluded because of earlier attempts.
        latency_baseline: latency baseline of the route.
        only_healthy: whether unhealthy servers are excluded.
        home_regions: regions in which the server has to be, None for any.
    """

    service: str
    tried: Collection[str]
    latency_baseline: LatencyBaseline
    only_healthy: bool = False
    home_regions: HomeRegions = None


@attrs.frozen(kw_only=True)
class Selector:
    """Filters the servers of a service by availability and ranks them."""

    directory: ServerDirectory
    states: ServerStates
    distances: Distances
    shares: ConnectionShares
    cold_limits: ColdLimits
    _clock: Clock
    _rng: random.Random

    def choose(self, criteria: SelectionCriteria) -> BackendServer | None:
        """Choose the server with the lowest expected latency.

        Servers at their concurrency limit are chosen only if no server is
        available; unresponsive and ejected servers are chosen only if there
        is no other.
        """
        now_ms = self._clock.now_ms()
        rated = _Rated(
            unresponsive_after_ms=criteria.latency_baseline.hedge_after_ms,
            # The connection limit is the same for all servers of the service.
            share=self.shares.connection_limit_for(criteria.service),
            now_ms=now_ms,
        )
        for server in self.directory.usable_servers(criteria.service):
            state = self.states.for_incarnation(server.incarnation)
            if self._is_allowed(server, state, criteria):
                rated.add(server, state)
        preferred = rated.preferred(only_healthy=criteria.only_healthy)
        chosen = choose_candidate(
            (
                self._build_candidate(known, criteria.latency_baseline, now_ms)
                for known in preferred.values()
            ),
            self._rng,
        )
        return None if chosen is None else preferred[chosen.server][0]

    def record_sent(self, server: BackendServer) -> None:
        """Record that an attempt is sent to a server."""
        state = self.states.for_incarnation(server.incarnation)
        self.cold_limits.record_sent(server, state)

    def _is_allowed(
        self,
        server: BackendServer,
        state: ServerState,
        criteria: SelectionCriteria,
    ) -> bool:
        """Whether a server may get the attempt, whatever its availability."""
        if server.incarnation in criteria.tried:
            return False
        if state.ejection.is_replaced(self._clock.now_ms()):
            return False
        if not self.distances.is_in_regions(
            server.data_centre, criteria.home_regions
        ):
            return False
        return self.cold_limits.may_send(server, state)

    def _build_candidate(
        self,
        rated_server: _RatedServer,
        latency_baseline: LatencyBaseline,
        now_ms: float,
    ) -> Candidate:
        server, state = rated_server
        latency_target_ms = latency_baseline.latency_target_ms
        return Candidate(
            server=server.incarnation,
            latency_ms=latency_baseline.usual_ms * state.latency_ratio(now_ms),
            penalty_ms=self.distances.distance_penalty_ms(
                server.data_centre, latency_target_ms
            )
            + state.failure_rate(now_ms)
            * _FAILURE_PENALTY_TARGETS
            * latency_target_ms,
            outstanding=state.outstanding,
            slots=server.slots,
            warming=self.cold_limits.is_cold(server),
            tried=False,
        )
