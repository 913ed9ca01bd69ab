"""Shares of a concurrency limit between workspaces.

A workspace that asks for less than its share is not bound by that share. Of one that
asks for more, the share that fits is admitted, so that its surplus is refused
first.
"""

import enum
import math
from collections.abc import Iterator
from typing import Final

import attrs

from fennelfork.routes._early_returns import EarlyReturns
from fennelfork.routes._route import Route
from fennelfork.shares import (
    Flow,
    RankedRates,
    Rate,
    Shares,
    Urgency,
    hash_fraction,
    ranked_rates,
)
from fennelfork.workspaces import Workspace

# Time over which the demand of a workspace is estimated: a workspace that
# sends far more than before is bound by its share within this time.
_WINDOW_MS: Final = 2000.0
# Factor on the served requests while overload signals come, so that admission
# grows when servers have free capacity again.
_PROBE_FACTOR: Final = 1.1
# Time for which the computed levels are used.
_REFRESH_MS: Final = 100.0
# Demand below which a workspace is forgotten.
_MIN_TRACKED_REQUESTS: Final = 0.01
# Share of the limit that requests may fill that return before their time.
_EARLY_SHARE: Final = 0.5
# Standard deviations of a count of random arrivals that are no surplus.
_TOLERANCE: Final = 2.0


@enum.unique
class RefusalReason(enum.Enum):
    """Reason for the refusal of a request under overload.

    `DEADLINE`: the learned latency exceeds the time that the caller has left.
    `LIMIT`: the limit of the services is reached. `WORKSPACE_SHARE`: the share
    of the workspace is. `EARLY_RETURN`: the request returned before the time
    that its refusal named. `STOP`: the daemon stops before the request ends.
    """

    DEADLINE = 'deadline'
    LIMIT = 'limit'
    WORKSPACE_SHARE = 'workspace_share'
    EARLY_RETURN = 'early_return'
    STOP = 'stop'


@attrs.frozen(kw_only=True)
class SharedLimit:
    """Concurrency limit that workspaces share, at one moment.

    Attributes:
        in_flight: number of requests in flight.
        slots: maximum number of requests in flight.
        is_binding: whether overload signals have set the limit.
        held_ms: mean time for which a request is in flight, zero before the
            first one has ended.
        served: number of requests that were served recently.
        overloaded_ms: time of the last overload signal.
    """

    in_flight: int
    slots: float
    is_binding: bool
    held_ms: float
    served: Rate
    overloaded_ms: float

    def capacity(self, now_ms: float) -> float:
        """Return how many requests can be served within the window.

        Many daemons share the servers, so that the limit of one may never be
        reached. While there are overload signals, little more can be served
        than was.
        """
        slots_allow = self.slots / self.held_ms * _WINDOW_MS
        if now_ms - self.overloaded_ms >= _WINDOW_MS:
            return slots_allow
        was_served = self.served.per_ms(now_ms) * _WINDOW_MS
        return min(slots_allow, was_served * _PROBE_FACTOR)


@attrs.frozen(kw_only=True)
class Asker:
    """Workspace, rank and identity of a request that asks for admission.

    Attributes:
        workspace: workspace of the request.
        urgency: rank of the request.
        request_id: id of the request.
        fingerprint: hash of the request that all its repeats share.
    """

    workspace: Workspace
    urgency: Urgency
    request_id: str
    fingerprint: str

    @property
    def flow(self) -> Flow:
        """Flow of the workspace."""
        return Flow(tenant=self.workspace.name, traffic_class='')


def recent_count() -> Rate:
    """Create a count of the events of the window.

    Unlike a rate, a few events after a quiet time do not count as many.
    """
    return Rate(window_ms=_WINDOW_MS, since_ms=-math.inf, at_ms=0)


def urgency_of(route: Route, workspace: Workspace | None) -> Urgency:
    """Return the rank of the requests of a workspace to a route."""
    priority = None if workspace is None else workspace.priority
    return Urgency(
        workspace=route.priority if priority is None else priority,
        route=route.priority,
    )


@attrs.define(kw_only=True)
class _Demand:
    """Demand of one workspace at one urgency."""

    weight: float
    arrivals: Rate


@attrs.define(kw_only=True)
class WorkspaceShares:
    """Demand and shares of the workspaces that use one set of services."""

    _demands: dict[tuple[Urgency, Flow], _Demand] = attrs.field(factory=dict)
    _early: EarlyReturns = attrs.field(factory=EarlyReturns)
    _levels: dict[tuple[Urgency, Flow], float] = attrs.field(factory=dict)
    _computed_ms: float = 0

    def find_refusal(
        self, asker: Asker, limit: SharedLimit, now_ms: float
    ) -> RefusalReason | None:
        """Return the reason against one more request of a workspace, if any.

        Args:
            asker: workspace and request.
            limit: limit that the workspaces share.
            now_ms: current time.
        """
        is_early = self._early.is_early(asker.fingerprint, now_ms)
        if is_early and limit.in_flight >= limit.slots * _EARLY_SHARE:
            return RefusalReason.EARLY_RETURN
        if not is_early:
            self._record_arrival(asker, now_ms)
        if not limit.is_binding or not limit.held_ms:
            return None
        if now_ms - self._computed_ms >= _REFRESH_MS:
            self._compute_levels(limit, now_ms)
        level = self._levels.get((asker.urgency, asker.flow), 1)
        has_share = hash_fraction(asker.request_id) < level
        return None if has_share else RefusalReason.WORKSPACE_SHARE

    def record_refusal(
        self, asker: Asker, now_ms: float, retry_after_ms: float
    ) -> None:
        """Record a refused request and the time after which it may return."""
        self._early.record_refusal(asker.fingerprint, now_ms, retry_after_ms)

    def _record_arrival(self, asker: Asker, now_ms: float) -> None:
        key = (asker.urgency, asker.flow)
        demand = self._demands.get(key)
        if demand is None:
            demand = _Demand(
                weight=asker.workspace.rate_per_s, arrivals=recent_count()
            )
            self._demands[key] = demand
        demand.arrivals.record(now_ms, 1)

    def _compute_levels(self, limit: SharedLimit, now_ms: float) -> None:
        """Compute the levels of the workspaces that exceed their shares."""
        self._computed_ms = now_ms
        self._forget_idle(now_ms)
        offered = self._count_offered(now_ms)
        granted = ranked_rates(offered, self._shares(), limit.capacity(now_ms))
        self._levels = {
            (urgency, flow): granted[urgency][flow] / count
            for urgency, flow, count in _each(offered)
            if _is_above(count, granted[urgency][flow])
        }

    def _count_offered(self, now_ms: float) -> RankedRates:
        """Return the number of recent requests of each workspace."""
        offered: dict[Urgency, dict[Flow, float]] = {}
        for (urgency, flow), demand in self._demands.items():
            count = demand.arrivals.per_ms(now_ms) * _WINDOW_MS
            offered.setdefault(urgency, {})[flow] = count
        return offered

    def _forget_idle(self, now_ms: float) -> None:
        idle = [
            key
            for key, demand in self._demands.items()
            if demand.arrivals.per_ms(now_ms) * _WINDOW_MS
            < _MIN_TRACKED_REQUESTS
        ]
        for key in idle:
            self._demands.pop(key)

    def _shares(self) -> Shares:
        """Return the weights: the rates of the workspaces.

        A workspace without a rate weighs as much as the others on average.
        """
        rates = {
            flow.tenant: demand.weight
            for (_urgency, flow), demand in self._demands.items()
        }
        known = [rate for rate in rates.values() if rate > 0]
        usual = sum(known) / len(known) if known else 1
        return Shares(
            tenants={name: rate or usual for name, rate in rates.items()}
        )


def _each(rates: RankedRates) -> Iterator[tuple[Urgency, Flow, float]]:
    for urgency, flows in rates.items():
        for flow, count in flows.items():
            yield urgency, flow, count


def _is_above(count: float, granted: float) -> bool:
    """Whether more requests arrived than chance adds to what is granted."""
    return count > granted + _TOLERANCE * math.sqrt(granted) + 1
