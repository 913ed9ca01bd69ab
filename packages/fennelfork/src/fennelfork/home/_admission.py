"""Admission control of a home daemon."""

import math
from typing import Final

import attrs
from returns.result import Failure as Err
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.shares import Flow, Rate, Shares, fair_rates, hash_fraction
from fennelfork.shares._rate import RATE_WINDOW_MS

_MIN_TRACKED_EVENTS: Final = 0.01
# Number of flows below which idle flows are not removed.
_MIN_SWEEP_FLOWS: Final = 64
# Above 1, so that slots do not become idle; the resulting queue is subtracted
# from the capacity.
_TARGET_UTILISATION: Final = 1.05
# Home daemons admit more than their admission level because root daemons
# already apply the lowest level. A rejected sub-query wastes the other
# sub-queries of its query.
_LEVEL_MARGIN: Final = 1.15
# Share of the remaining time that may be spent in the queue before the shard
# counts as overloaded. A burst whose deadlines can be met is no overload.
_MAX_QUEUE_SHARE: Final = 0.25
_SERVICE_GAIN: Final = 0.02
_RETRY_MS: Final = 1000


@attrs.frozen(kw_only=True)
class LoadEstimate:
    """Load of a shard from the point of view of a new sub-query.

    Attributes:
        slots: number of usable slots on eligible servers.
        free_slots: number of free slots on eligible servers.
        queued_ahead: number of queued sub-queries that are served first.
        median_run_ms: median latency of an attempt.
        remaining_ms: time until the deadline.
    """

    slots: int
    free_slots: int
    queued_ahead: float
    median_run_ms: float
    remaining_ms: float


@attrs.frozen(kw_only=True)
class Arrival:
    """New sub-query that admission control decides on.

    Attributes:
        flow: flow of the sub-query.
        request_id: id of the request of the caller.
        weight: number of offered requests per request that the root daemon
            admitted.
    """

    flow: Flow
    request_id: str
    weight: float = 1


@attrs.define(kw_only=True)
class HomeAdmission:
    """Admission control of one shard, from arrival rates and service time."""

    shares: Shares
    service_ms: float = 0
    _arrivals: dict[Flow, Rate] = attrs.field(factory=dict)
    _levels: dict[Flow, float] = attrs.field(factory=dict)
    _overloaded_until_ms: float = -math.inf
    _next_sweep: int = _MIN_SWEEP_FLOWS

    def record_service_time(self, held_ms: float) -> None:
        """Record the time for which a slot was held."""
        if self.service_ms == 0:
            self.service_ms = held_ms
        self.service_ms += _SERVICE_GAIN * (held_ms - self.service_ms)

    def predict_wait_ms(self, load: LoadEstimate) -> float:
        """Return the predicted queueing time of a new sub-query."""
        if load.free_slots > load.queued_ahead:
            return 0
        return (load.queued_ahead + 1) * self.service_ms / load.slots

    def level(self, flow: Flow, now_ms: float) -> float:
        """Return the share of the requests of a flow that is admitted."""
        if now_ms >= self._overloaded_until_ms:
            return 1
        return self._levels.get(flow, 1)

    def admit(
        self,
        arrival: Arrival,
        load: LoadEstimate,
        now_ms: float,
    ) -> Result[float, Failure]:
        """Admit or reject a new sub-query.

        Returns:
            The predicted queueing time, or a failure with a retry delay.
        """
        self._record_arrival(arrival, now_ms)
        wait_ms = self.predict_wait_ms(load)
        max_wait_ms = max(self.service_ms, _MAX_QUEUE_SHARE * load.remaining_ms)
        if 0 < max_wait_ms <= wait_ms:
            self._overloaded_until_ms = now_ms + RATE_WINDOW_MS
        if now_ms < self._overloaded_until_ms:
            self._set_levels(load, now_ms)
        if wait_ms + load.median_run_ms > load.remaining_ms:
            return _refuse(
                FailureCode.DEADLINE,
                f'the predicted wait of {wait_ms:.0f} ms exceeds the deadline',
                wait_ms,
            )
        limit = _LEVEL_MARGIN * self.level(arrival.flow, now_ms)
        if hash_fraction(arrival.request_id) >= limit:
            return refuse_overload(arrival.request_id)
        return Success(wait_ms)

    def _record_arrival(self, arrival: Arrival, now_ms: float) -> None:
        rate = self._arrivals.get(arrival.flow)
        if rate is None:
            self._remove_idle_flows(now_ms)
            rate = Rate(since_ms=now_ms, at_ms=now_ms)
            self._arrivals[arrival.flow] = rate
        rate.record(now_ms, arrival.weight)

    def _remove_idle_flows(self, now_ms: float) -> None:
        """Remove idle flows each time that the number of flows doubles."""
        if len(self._arrivals) < self._next_sweep:
            return
        self._remove_flows(self._compute_offered_rates(now_ms))
        self._next_sweep = max(_MIN_SWEEP_FLOWS, 2 * len(self._arrivals))

    def _compute_offered_rates(self, now_ms: float) -> dict[Flow, float]:
        return {
            flow: rate.per_ms(now_ms) for flow, rate in self._arrivals.items()
        }

    def _set_levels(self, load: LoadEstimate, now_ms: float) -> None:
        """Compute the admission level of each flow from its fair share."""
        offered = self._compute_offered_rates(now_ms)
        capacity_per_ms = load.slots / self.service_ms
        excess_queued = max(
            0,
            load.queued_ahead
            - capacity_per_ms * _MAX_QUEUE_SHARE * load.remaining_ms,
        )
        capacity = max(
            0,
            _TARGET_UTILISATION * capacity_per_ms
            - excess_queued / RATE_WINDOW_MS,
        )
        granted_rates = fair_rates(offered, self.shares, capacity)
        self._levels = {
            flow: granted_rates[flow] / per_ms
            for flow, per_ms in offered.items()
        }
        self._remove_flows(offered)

    def _remove_flows(self, offered: dict[Flow, float]) -> None:
        for flow, per_ms in offered.items():
            if per_ms * RATE_WINDOW_MS < _MIN_TRACKED_EVENTS:
                self._arrivals.pop(flow)


def refuse_overload(request_id: str) -> Result[float, Failure]:
    """Return the failure of a request that exceeds the share of its flow."""
    return _refuse(
        FailureCode.SHED,
        'more is offered than this share of the servers can run',
        _RETRY_MS * (1 + hash_fraction(request_id)),
    )


def _refuse(
    code: FailureCode,
    detail: str,
    retry_ms: float,
) -> Result[float, Failure]:
    return Err(
        not_run(code, detail, retry_after_ms=max(1, math.ceil(retry_ms)))
    )
