"""What a home takes in, and what it refuses at once."""

import math
from typing import Final

import attrs
import xxhash
from returns.result import Failure as Err
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.home._fair import Flow, Shares, fair_rates

_WINDOW_MS: Final = 300.0
# A rate read sooner than this after the first event says nothing.
_MIN_RATE_AGE_MS: Final = 50.0
_MIN_TRACKED_EVENTS: Final = 0.01
# Below so many flows none is looked for to be forgotten.
_MIN_SWEEP_FLOWS: Final = 64
_HASH_BITS: Final = 64
_HASH_RANGE: Final = 2**_HASH_BITS
# Slightly more than the slots can run, so that they never idle; what has
# queued up for it comes off again.
_TARGET_UTILISATION: Final = 1.05
# A home lets through somewhat more than its level: roots refuse by the lowest
# level of all homes, and a part refused by one home wastes those of the others.
_LEVEL_MARGIN: Final = 1.15
# A queue may take this part of the time that is left: a burst whose deadlines
# can be met is no overload.
_MAX_QUEUE_SHARE: Final = 0.25
_SERVICE_GAIN: Final = 0.02
_RETRY_MS: Final = 1000


@attrs.define(kw_only=True)
class Rate:
    """Events per millisecond, the older ones fading out."""

    _since_ms: float
    _at_ms: float
    _count: float = 0

    def record(self, now_ms: float, weight: float) -> None:
        """Count one event, which stands for `weight` of them."""
        self._fade(now_ms)
        self._count += weight

    def per_ms(self, now_ms: float) -> float:
        """Give the rate of the last window or so."""
        self._fade(now_ms)
        age_ms = max(_MIN_RATE_AGE_MS, now_ms - self._since_ms)
        shard_latencies = 1 - math.exp(-age_ms / _WINDOW_MS)
        return self._count / (_WINDOW_MS * shard_latencies)

    def _fade(self, now_ms: float) -> None:
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._count *= math.exp(-elapsed_ms / _WINDOW_MS)
        self._at_ms = now_ms


@attrs.frozen(kw_only=True)
class LoadEstimate:
    """What stands before a new sub-query at its home.

    Attributes:
        slots: slots that may be in use on servers which can run it.
        free: those of them that are free now.
        ahead: queued sub-queries that get a slot before it.
        least_ms: the time that a run takes at the median.
        left_ms: the time until the deadline.
    """

    slots: int
    free_slots: int
    queued_ahead: float
    median_run_ms: float
    remaining_ms: float


@attrs.frozen(kw_only=True)
class Arrival:
    """A new sub-query, as admission sees it.

    Attributes:
        flow: whose it is.
        request_id: of the caller's request.
        weight: how many requests it stands for: its root let one in this
            many in, and refused the others.
    """

    flow: Flow
    request_id: str
    weight: float = 1


@attrs.define(kw_only=True)
class HomeAdmission:
    """Measured arrivals and service times of one shard."""

    shares: Shares
    service_ms: float = 0
    _arrivals: dict[Flow, Rate] = attrs.field(factory=dict)
    _levels: dict[Flow, float] = attrs.field(factory=dict)
    _overloaded_until_ms: float = -math.inf
    _next_sweep: int = _MIN_SWEEP_FLOWS

    def record_service_time(self, held_ms: float) -> None:
        """Note for how long a slot was held."""
        if self.service_ms == 0:
            self.service_ms = held_ms
        self.service_ms += _SERVICE_GAIN * (held_ms - self.service_ms)

    def predict_wait_ms(self, load: LoadEstimate) -> float:
        """Predict how long a new sub-query waits for a slot."""
        if load.free_slots > load.queued_ahead:
            return 0
        return (load.queued_ahead + 1) * self.service_ms / load.slots

    def level(self, flow: Flow, now_ms: float) -> float:
        """Tell which part of a flow's requests is taken at present."""
        if now_ms >= self._overloaded_until_ms:
            return 1
        return self._levels.get(flow, 1)

    def admit(
        self,
        arrival: Arrival,
        load: LoadEstimate,
        now_ms: float,
    ) -> Result[float, Failure]:
        """Decide whether a new sub-query may wait for a slot.

        Returns:
            The predicted wait, or a refusal that says when to ask again.
        """
        self._record_arrival(arrival, now_ms)
        wait_ms = self.predict_wait_ms(load)
        max_wait_ms = max(self.service_ms, _MAX_QUEUE_SHARE * load.remaining_ms)
        if 0 < max_wait_ms <= wait_ms:
            self._overloaded_until_ms = now_ms + _WINDOW_MS
        if now_ms < self._overloaded_until_ms:
            self._set_levels(load, now_ms)
        if wait_ms + load.median_run_ms > load.remaining_ms:
            return _refuse(
                FailureCode.DEADLINE,
                f'a slot is free in {wait_ms:.0f} ms, the deadline is nearer',
                wait_ms,
            )
        limit = _LEVEL_MARGIN * self.level(arrival.flow, now_ms)
        if hash_fraction(arrival.request_id) >= limit:
            return refuse_overload(arrival.request_id)
        return Success(wait_ms)

    def _record_arrival(self, arrival: Arrival, now_ms: float) -> None:
        rate = self._arrivals.get(arrival.flow)
        if rate is None:
            self._sweep(now_ms)
            rate = Rate(since_ms=now_ms, at_ms=now_ms)
            self._arrivals[arrival.flow] = rate
        rate.record(now_ms, arrival.weight)

    def _sweep(self, now_ms: float) -> None:
        """Forget flows that went away, each time that they have doubled."""
        if len(self._arrivals) < self._next_sweep:
            return
        self._forget(self._offered(now_ms))
        self._next_sweep = max(_MIN_SWEEP_FLOWS, 2 * len(self._arrivals))

    def _offered(self, now_ms: float) -> dict[Flow, float]:
        return {
            flow: rate.per_ms(now_ms) for flow, rate in self._arrivals.items()
        }

    def _set_levels(self, load: LoadEstimate, now_ms: float) -> None:
        """Work out which part of each flow its fair share can carry."""
        offered = self._offered(now_ms)
        capacity_per_ms = load.slots / self.service_ms
        excess_queued = max(
            0,
            load.queued_ahead
            - capacity_per_ms * _MAX_QUEUE_SHARE * load.remaining_ms,
        )
        capacity = max(
            0,
            _TARGET_UTILISATION * capacity_per_ms - excess_queued / _WINDOW_MS,
        )
        granted_rates = fair_rates(offered, self.shares, capacity)
        self._levels = {
            flow: granted_rates[flow] / per_ms
            for flow, per_ms in offered.items()
        }
        self._forget(offered)

    def _forget(self, offered: dict[Flow, float]) -> None:
        for flow, per_ms in offered.items():
            if per_ms * _WINDOW_MS < _MIN_TRACKED_EVENTS:
                self._arrivals.pop(flow)


def hash_fraction(request_id: str) -> float:
    """Give a request its fixed place between 0 and 1.

    Every home draws the same for one request. Under overload all of them so
    take the same requests; drawn independently, hardly any query would have
    all of its parts taken, and what ran for the rest would be wasted.
    """
    return xxhash.xxh64_intdigest(request_id.encode()) / _HASH_RANGE


def refuse_overload(request_id: str) -> Result[float, Failure]:
    """Refuse a request that its flow's fair share does not carry."""
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
