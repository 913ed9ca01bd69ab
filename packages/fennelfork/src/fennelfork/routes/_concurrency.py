"""Adaptive concurrency limits: admission control for requests of callers.

A request beyond the capacity of the backend servers delays all others and is
likely to time out after the servers have worked on it, so excess requests are
rejected on arrival. The limits follow additive increase and multiplicative
decrease. Requests are unlimited until backend servers reject attempts or this
process lags.
"""

import functools
from typing import Any, Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._dispatch import Dispatch
from fennelfork.routes._processor_load import LimitLoad, requests_to_keep
from fennelfork.routes._returns import Returns, returns
from fennelfork.routes._route import Route, is_merged, services_of
from fennelfork.routes._workspace_shares import (
    Asker,
    RefusalReason,
    SharedLimit,
    WorkspaceShares,
    recent_count,
    urgency_of,
)
from fennelfork.shares import Rate, Urgency

# Above the number of requests that a daemon ever has in flight.
_NO_LIMIT: Final = 512.0
# Lower bound of every limit: a slow period alone rejects no request. A calm
# daemon has about two requests in flight.
_MIN_LIMIT: Final = 6.0
_DECREASE_FACTOR: Final = 0.8
# Overload signals within this time count as one.
_MIN_DECREASE_INTERVAL_MS: Final = 200.0
# Increase per successful request, divided by the limit: shortly after an
# overload signal, and once no signal has come for the recovery time.
_INCREASE: Final = 0.2
_RECOVERED_INCREASE: Final = 1.0
_RECOVERY_MS: Final = 1000.0
# Weight of the latest request in the mean time that requests are in flight.
_DURATION_GAIN: Final = 0.1
# Factor on the limit for each more urgent priority that is in use. A much lower
# factor refuses more of the other requests without an advantage for urgent ones.
_LOWER_PRIORITY_SHARE: Final = 0.9
_NO_URGENCY: Final = Urgency(workspace=0, route=0)


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """Concurrency limit of all requests to the same set of services.

    Attributes:
        in_flight: number of requests in flight.
        limit: maximum number of requests in flight.
        width: number of services that each request is sent to.
        returns: requests that ended or were refused recently.
        shares: shares of the workspaces in the limit.
    """

    in_flight: int = 0
    limit: float = _NO_LIMIT
    width: int = 1
    returns: Returns = attrs.field(factory=functools.partial(returns, 0))
    shares: WorkspaceShares = attrs.field(factory=WorkspaceShares)
    _held_ms: float = 0
    _served: Rate = attrs.field(factory=recent_count)
    _decreased_ms: float = 0
    _overloaded_ms: float = 0
    _urgencies: set[Urgency] = attrs.field(factory=set)

    @property
    def load(self) -> LimitLoad:
        """Load of these requests for the processor."""
        return LimitLoad(
            in_flight=self.in_flight,
            width=self.width,
            urgency=min(self._urgencies, default=_NO_URGENCY),
            min_limit=_MIN_LIMIT,
        )

    @property
    def shared(self) -> SharedLimit:
        """The limit as the workspaces share it now."""
        return SharedLimit(
            in_flight=self.in_flight,
            slots=self.limit,
            is_binding=self.limit < _NO_LIMIT,
            held_ms=self._held_ms,
            served=self._served,
            overloaded_ms=self._overloaded_ms,
        )

    def has_capacity(self, urgency: Urgency) -> bool:
        """Whether one more request of an urgency may be admitted.

        Args:
            urgency: rank of the request.
        """
        rank = sum(other < urgency for other in self._urgencies)
        share: float = _LOWER_PRIORITY_SHARE**rank
        return self.in_flight < max(_MIN_LIMIT, self.limit * share)

    def try_admit(self, urgency: Urgency) -> bool:
        """Admit one request of an urgency if the limit allows it.

        Returns:
            Whether the request is admitted.
        """
        self._urgencies.add(urgency)
        if not self.has_capacity(urgency):
            return False
        self.in_flight += 1
        return True

    def try_admit_shared(self, urgency: Urgency) -> bool:
        """Admit one request whose urgency the shares have considered."""
        self._urgencies.add(urgency)
        if self.in_flight >= max(_MIN_LIMIT, self.limit):
            return False
        self.in_flight += 1
        return True

    def record_end(
        self, took_ms: float, now_ms: float, *, served: bool
    ) -> None:
        """Record the end of a request.

        Args:
            took_ms: time for which the request was in flight.
            now_ms: current time.
            served: whether the answer is a success.
        """
        gain = _DURATION_GAIN if self._held_ms else 1
        self._held_ms += gain * (took_ms - self._held_ms)
        self._served.record(now_ms, served)

    def record_success(self, now_ms: float) -> None:
        """Increase the limit after a request that met its latency target."""
        if self.limit >= _NO_LIMIT:
            return
        has_recovered = now_ms - self._decreased_ms > _RECOVERY_MS
        increase = _RECOVERED_INCREASE if has_recovered else _INCREASE
        self.limit += increase / self.limit

    def record_late_response(self, now_ms: float) -> bool:
        """Record a request that succeeded after its latency target.

        A late response has many causes, so it counts as an overload signal
        only shortly after another kind of signal.

        Returns:
            Whether the limit has been decreased.
        """
        if now_ms - self._overloaded_ms >= _RECOVERY_MS:
            return False
        return self._decrease(now_ms)

    def record_overload(self, now_ms: float) -> bool:
        """Record an overload signal.

        Returns:
            Whether the limit has been decreased.
        """
        self._overloaded_ms = now_ms
        return self._decrease(now_ms)

    def record_lag(self, kept: float, now_ms: float) -> None:
        """Record that this process lags.

        Args:
            kept: number of requests that the processor can run.
            now_ms: current time.
        """
        self._overloaded_ms = now_ms
        self._decrease_to(min(self.limit, kept), now_ms)

    def _decrease(self, now_ms: float) -> bool:
        used = min(self.limit, self.in_flight)
        return self._decrease_to(used * _DECREASE_FACTOR, now_ms)

    def _decrease_to(self, limit: float, now_ms: float) -> bool:
        if now_ms - self._decreased_ms < _MIN_DECREASE_INTERVAL_MS:
            return False
        self._decreased_ms = now_ms
        self.limit = max(_MIN_LIMIT, limit)
        return True


@attrs.define(kw_only=True)
class ConcurrencyLimits:
    """Concurrency limits of one daemon, by the set of target services."""

    _clock: Clock
    _limits: dict[tuple[str, ...], ConcurrencyLimit] = attrs.field(
        factory=dict,
    )

    def try_admit(self, route: Route) -> bool:
        """Admit a request without a workspace if its limit allows it.

        Returns:
            Whether the request is admitted.
        """
        return self.admit(route, None) is None

    def admit(self, route: Route, asker: Asker | None) -> RefusalReason | None:
        """Admit a request of a route if limit and workspace allow it.

        Args:
            route: route of the request.
            asker: workspace and request, none if no workspace is configured.

        Returns:
            The reason for a refusal, none if the request is admitted.
        """
        limit = self.for_route(route)
        if asker is None:
            admitted = limit.try_admit(urgency_of(route, None))
            return None if admitted else RefusalReason.LIMIT
        now_ms = self._clock.now_ms()
        refusal = limit.shares.find_refusal(asker, limit.shared, now_ms)
        if refusal is not None:
            return refusal
        return (
            None
            if limit.try_admit_shared(asker.urgency)
            else RefusalReason.LIMIT
        )

    def release(self, route: Route) -> None:
        """Record the end of an admitted request of a route."""
        limit = self.for_route(route)
        limit.in_flight -= 1
        limit.returns.record_end(self._clock.now_ms())
        if not limit.in_flight and limit.limit >= _NO_LIMIT:
            self._limits.pop(services_of(route.target), None)

    def record_refusal(
        self,
        route: Route,
        request_id: str,
        left_ms: float,
        asker: Asker | None = None,
    ) -> int:
        """Record a request that was not admitted.

        Args:
            route: route of the request.
            request_id: id of the request.
            left_ms: time until the deadline of the caller.
            asker: workspace and request, none if no workspace is configured.

        Returns:
            The time in milliseconds after which the caller may return.
        """
        limit = self.for_route(route)
        now_ms = self._clock.now_ms()
        limit.returns.record_refusal(now_ms)
        retry_after_ms = limit.returns.retry_after_ms(
            request_id, limit.in_flight, left_ms, now_ms
        )
        if asker is not None:
            limit.shares.record_refusal(asker, now_ms, retry_after_ms)
        return retry_after_ms

    def record_outcome(self, dispatch: Dispatch[Any], took_ms: float) -> bool:
        """Adjust the limit of a route to the outcome of a request.

        Args:
            dispatch: dispatch of the request.
            took_ms: time from the arrival of the request to its answer.

        Returns:
            Whether the limit has been decreased.
        """
        limit = self.for_route(dispatch.route)
        now_ms = self._clock.now_ms()
        limit.record_end(took_ms, now_ms, served=dispatch.is_sufficient)
        in_time = took_ms <= dispatch.route.latency_target_ms
        if dispatch.is_sufficient and in_time:
            limit.record_success(now_ms)
            return False
        # A rejected attempt made the request late or caused its failure.
        if any(
            sub_request.was_rejected
            for sub_request in dispatch.sub_requests.values()
        ):
            return limit.record_overload(now_ms)
        return dispatch.is_sufficient and limit.record_late_response(now_ms)

    def record_lag(self) -> None:
        """Record that this process lags, which all requests load.

        The least urgent requests give way first.
        """
        now_ms = self._clock.now_ms()
        limits = list(self._limits.values())
        kept = requests_to_keep(limit.load for limit in limits)
        for index, requests in kept.items():
            limits[index].record_lag(requests, now_ms)

    def for_route(self, route: Route) -> ConcurrencyLimit:
        """Return the concurrency limit of the services of a route."""
        services = services_of(route.target)
        concurrency_limit = self._limits.get(services)
        if concurrency_limit is None:
            concurrency_limit = ConcurrencyLimit(
                width=len(services) if is_merged(route.target) else 1,
                returns=returns(self._clock.now_ms()),
            )
            self._limits[services] = concurrency_limit
        return concurrency_limit
