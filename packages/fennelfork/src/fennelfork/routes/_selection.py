"""Choice of a backend server for one copy of a request."""

import enum
import random
from collections.abc import Collection, Iterator, Mapping
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._connection_share import ConnectionShares
from fennelfork.routes._pace import Pace
from fennelfork.routes._server_directory import BackendServer, Roster
from fennelfork.routes._server_state import ServerState, ServerStates
from fennelfork.servers._rank import Candidate, best

# An answer from another region comes 24 ms later and its bytes are dear: a
# server there has to be faster by that and a share of the aim, which makes 80 ms
# of an aim of 300 ms. That took a third of the bytes between regions away, and
# callers got as much of what they are owed.
_OTHER_REGION_MS: Final = 24.0
_OTHER_REGION_SHARE: Final = 0.19
_OTHER_DATA_CENTRE_MS: Final = 5.0


@attrs.frozen(kw_only=True)
class Distances:
    """How far data centres are from this daemon."""

    data_centre: str
    region_of: Mapping[str, str]

    def nearby(self, data_centre: str) -> bool:
        """Tell whether a data centre is this daemon's own."""
        return data_centre == self.data_centre

    def cost_ms(self, data_centre: str, aim_ms: float) -> float:
        """Give by how much a server there has to be faster.

        Args:
            data_centre: of the server.
            aim_ms: of the route, which says how much a millisecond matters.
        """
        if self.nearby(data_centre):
            return 0
        own = self.region_of.get(self.data_centre)
        if own is not None and self.region_of.get(data_centre) == own:
            return _OTHER_DATA_CENTRE_MS
        return _OTHER_REGION_MS + _OTHER_REGION_SHARE * aim_ms


class _Fitness(enum.IntEnum):
    """Whether a server should get work now; less is better."""

    FIT = 0
    BUSY = 1
    DOUBTFUL = 2


@attrs.frozen(kw_only=True)
class Selection:
    """For what a server is chosen.

    Attributes:
        service: one of whose servers is wanted.
        tried: runs that had the request already.
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

        One to which this daemon has sent as much as it may is chosen only if
        all are like that, one that answers nothing at present or failed a
        moment ago only if there is no other.
        """
        servers = {
            server.run: server
            for server in self.roster.usable(wanted.service)
            if server.run not in wanted.tried
        }
        # The same for all servers of the service.
        share = self.shares.of(wanted.service)
        by_fitness: dict[_Fitness, list[BackendServer]] = {}
        for server in servers.values():
            fitness = self._fitness(server, wanted, share)
            by_fitness.setdefault(fitness, []).append(server)
        if wanted.only_healthy:
            by_fitness.pop(_Fitness.DOUBTFUL, None)
        if not by_fitness:
            return None
        fittest = by_fitness[min(by_fitness)]
        chosen = best(self._candidates(fittest, wanted.pace), self._rng)
        return None if chosen is None else servers[chosen.server]

    def _fitness(
        self,
        server: BackendServer,
        wanted: Selection,
        share: int,
    ) -> _Fitness:
        state = self.states.of(server.run)
        now_ms = self._clock.now_ms()
        silent = state.silent_ms(now_ms) > wanted.pace.hedge_ms
        if silent or state.standing.ejected(now_ms):
            return _Fitness.DOUBTFUL
        usable = state.standing.usable(server.slots, now_ms)
        if state.outstanding >= min(usable, share) or state.full(now_ms):
            return _Fitness.BUSY
        return _Fitness.FIT

    def _candidates(
        self,
        servers: list[BackendServer],
        pace: Pace,
    ) -> Iterator[Candidate]:
        for server in servers:
            state = self.states.of(server.run)
            yield self._candidate(server, state, pace)

    def _candidate(
        self,
        server: BackendServer,
        state: ServerState,
        pace: Pace,
    ) -> Candidate:
        now_ms = self._clock.now_ms()
        return Candidate(
            server=server.run,
            latency_ms=pace.usual_ms * state.slowness(now_ms),
            distance_ms=self.distances.cost_ms(
                server.data_centre,
                pace.aim_ms,
            ),
            outstanding=state.outstanding,
            slots=server.slots,
            warming=now_ms < server.warm_ms,
            tried=False,
        )
