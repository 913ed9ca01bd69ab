"""How fast a route is usually answered, and when to send a second copy."""

from typing import Final

import attrs

from fennelfork.routes._route import Route
from fennelfork.servers._hedge import (
    Latencies,
    QuantileHedge,
    hedge_delay_ms,
    latencies,
)
from fennelfork.servers._rank import ObservedLatency

# A second copy goes out after this quantile of the route's latencies, within
# these shares of its aim: sooner they use up the allowance (of what callers are
# owed on a calm day they got 0.987 instead of 0.991), later ones come too late
# to be in time.
_QUANTILE: Final = 0.95
_EARLIEST: Final = 0.3
_LATEST: Final = 0.42
_UNKNOWN: Final = 0.35
# The usual latency of a route that was not used yet, as a share of its aim.
_GUESS: Final = 0.15


@attrs.define(kw_only=True)
class Pace:
    """Latencies of one part of a route's requests.

    Attributes:
        aim_ms: of the route.
    """

    aim_ms: float
    _latencies: Latencies
    _usual: ObservedLatency

    @property
    def usual_ms(self) -> float:
        """The usual latency of a backend server nearby."""
        return self._usual.mean_ms or self.aim_ms * _GUESS

    @property
    def hedge_ms(self) -> float:
        """How long to wait before a second copy is sent."""
        policy = QuantileHedge(
            quantile=_QUANTILE,
            delay_ms=self.aim_ms * _UNKNOWN,
        )
        delay_ms = hedge_delay_ms(policy, self._latencies) or 0
        latest_ms = self.aim_ms * _LATEST
        return min(latest_ms, max(self.aim_ms * _EARLIEST, delay_ms))

    def record(self, latency_ms: float) -> None:
        """Add the latency of a server nearby."""
        self._latencies.record(latency_ms)
        self._usual.record(latency_ms)


@attrs.define(kw_only=True)
class Paces:
    """The paces of all routes, by their name."""

    _paces: dict[str, Pace] = attrs.field(factory=dict)

    def of(self, route: Route) -> Pace:
        """Give the pace of a route, a fresh one if it is new."""
        found = self._paces.get(route.name)
        if found is None:
            found = pace(route.aim_ms)
            self._paces[route.name] = found
        return found


def pace(aim_ms: float) -> Pace:
    """Build the pace of a route that was not used yet."""
    return Pace(
        aim_ms=aim_ms,
        latencies=latencies(),
        usual=ObservedLatency(),
    )
