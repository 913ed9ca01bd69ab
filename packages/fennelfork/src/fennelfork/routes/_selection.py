"""Choice of a backend server for one copy of a request."""

import random
from collections.abc import Collection, Iterator, Mapping
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork._rank import Candidate, best
from fennelfork.routes._connection_share import ConnectionShares
from fennelfork.routes._pace import Pace
from fennelfork.routes._roster import BackendServer, Roster
from fennelfork.routes._server_state import ServerState, ServerStates

# Bytes between regions cost 16 times a new connection and the answer comes
# 24 ms later: a server elsewhere has to be this much faster. Worth of a calm
# day 0.815 at 80 ms, 0.801 at 24 ms.
_OTHER_REGION_MS: Final = 80.0
_OTHER_DATA_CENTRE_MS: Final = 5.0


@attrs.frozen(kw_only=True)
class Distances:
    """How far data centres are from this daemon."""

    data_centre: str
    region_of: Mapping[str, str]

    def nearby(self, data_centre: str) -> bool:
        """Tell whether a data centre is this daemon's own."""
        return data_centre == self.data_centre

    def cost_ms(self, data_centre: str) -> float:
        """Give by how much a server there has to be faster."""
        if self.nearby(data_centre):
            return 0
        own = self.region_of.get(self.data_centre)
        if own is not None and self.region_of.get(data_centre) == own:
            return _OTHER_DATA_CENTRE_MS
        return _OTHER_REGION_MS


@attrs.frozen(kw_only=True)
class Selection:
    """For what a server is chosen.

    Attributes:
        service: one of whose servers is wanted.
        tried: instances that had the request already.
        pace: of the route.
        only_healthy: rather choose none than one in doubt.
    """

    service: str
    tried: Collection[str]
    pace: Pace
    only_healthy: bool = False


@attrs.frozen(kw_only=True)
class Selector:
    """Filters the servers of a service, then ranks them."""

    roster: Roster
    states: ServerStates
    distances: Distances
    shares: ConnectionShares
    _clock: Clock
    _rng: random.Random

    def choose(self, wanted: Selection) -> BackendServer | None:
        """Give the server that should answer first.

        A server that answers nothing at present, failed a moment ago or has
        all its slots taken by this daemon is chosen only if all are like that.
        """
        servers = {
            server.instance: server
            for server in self.roster.usable(wanted.service)
            if server.instance not in wanted.tried
        }
        healthy = [
            server
            for server in servers.values()
            if self._healthy(server, wanted)
        ]
        chosen_from = healthy or list(servers.values())
        if wanted.only_healthy:
            chosen_from = healthy
        chosen = best(self._candidates(chosen_from, wanted.pace), self._rng)
        return None if chosen is None else servers[chosen.server]

    def _healthy(self, server: BackendServer, wanted: Selection) -> bool:
        state = self.states.of(server.instance)
        now_ms = self._clock.now_ms()
        if state.silent_ms(now_ms) > wanted.pace.hedge_ms:
            return False
        usable = state.standing.usable(server.slots, now_ms)
        return state.outstanding < min(usable, self.shares.of(server.service))

    def _candidates(
        self,
        servers: list[BackendServer],
        pace: Pace,
    ) -> Iterator[Candidate]:
        for server in servers:
            state = self.states.of(server.instance)
            yield self._candidate(server, state, pace)

    def _candidate(
        self,
        server: BackendServer,
        state: ServerState,
        pace: Pace,
    ) -> Candidate:
        now_ms = self._clock.now_ms()
        return Candidate(
            server=server.instance,
            latency_ms=pace.usual_ms * state.slowness(now_ms),
            distance_ms=self.distances.cost_ms(server.data_centre),
            outstanding=state.outstanding,
            slots=server.slots,
            warming=now_ms < server.warm_ms,
            tried=False,
        )
