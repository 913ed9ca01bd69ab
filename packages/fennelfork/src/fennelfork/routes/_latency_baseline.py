"""Latency baselines of routes, and the delays of hedges."""

import math
from typing import Final

import attrs

from fennelfork.routes._response_times import ResponseTimes
from fennelfork.routes._route import Route
from fennelfork.servers._hedge import (
    Latencies,
    QuantileHedge,
    hedge_delay_ms,
    latencies,
)
from fennelfork.servers._rank import ObservedLatency

# Quantile of the latencies of a route after which a hedge is sent. The delay
# is bounded by fractions of the latency target: an earlier hedge spends the
# retry budget, a later one cannot meet the target.
_QUANTILE: Final = 0.95
_MIN_HEDGE_FRACTION: Final = 0.3
_MAX_HEDGE_FRACTION: Final = 0.42
_DEFAULT_HEDGE_FRACTION: Final = 0.35
# Quantile of the latencies of a route below which no answer is expected.
_LEAST_QUANTILE: Final = 0.05
# Quantile of the latencies of a route above which hardly any answer is expected.
_MOST_QUANTILE: Final = 0.99
# Multiple of the mean latency that takes the place of that quantile while there
# are few responses.
_MOST_MEANS: Final = 4
# Initial latency baseline as a fraction of the latency target.
_DEFAULT_LATENCY_FRACTION: Final = 0.15


@attrs.define(kw_only=True)
class LatencyBaseline:
    """Latency baseline of a route: response times of servers nearby.

    Attributes:
        latency_target_ms: latency target of the route.
        response_times: response times of all servers of the route.
    """

    latency_target_ms: float
    response_times: ResponseTimes = attrs.field(factory=ResponseTimes)
    _latencies: Latencies
    _mean: ObservedLatency

    @property
    def usual_ms(self) -> float:
        """Mean latency of a backend server nearby."""
        return (
            self._mean.mean_ms
            or self.latency_target_ms * _DEFAULT_LATENCY_FRACTION
        )

    @property
    def hedge_after_ms(self) -> float:
        """Delay between an attempt and its hedge."""
        policy = QuantileHedge(
            quantile=_QUANTILE,
            delay_ms=self.latency_target_ms * _DEFAULT_HEDGE_FRACTION,
        )
        delay_ms = hedge_delay_ms(policy, self._latencies) or 0
        max_delay_ms = self.latency_target_ms * _MAX_HEDGE_FRACTION
        return min(
            max_delay_ms,
            max(self.latency_target_ms * _MIN_HEDGE_FRACTION, delay_ms),
        )

    @property
    def least_ms(self) -> float:
        """Latency that hardly any response is below, 0 while unknown."""
        if not self._latencies.has_enough_samples:
            return 0
        return self._latencies.quantile_ms(_LEAST_QUANTILE)

    @property
    def most_ms(self) -> float:
        """Latency that hardly any response is above, infinite while unknown."""
        if self._latencies.has_enough_samples:
            return self._latencies.quantile_ms(_MOST_QUANTILE)
        return self._mean.mean_ms * _MOST_MEANS or math.inf

    def expected_ms(self, data_centre: str, latency_ratio: float) -> float:
        """Return the expected response time of a server.

        Args:
            data_centre: data centre of the server.
            latency_ratio: latency of the server as a multiple of the usual one.
        """
        usual_ms = self.response_times.mean_ms(data_centre, self.usual_ms)
        return usual_ms * latency_ratio

    def record_response_time(
        self, data_centre: str, took_ms: float, latency_ratio: float
    ) -> None:
        """Record the response time of any server.

        Args:
            data_centre: data centre of the server.
            took_ms: response time.
            latency_ratio: latency of the server as a multiple of the usual one.
        """
        expected_ms = self.expected_ms(data_centre, latency_ratio)
        self.response_times.record(data_centre, took_ms, expected_ms)

    def record(self, latency_ms: float) -> None:
        """Record the latency of a response of a server nearby."""
        self._latencies.record(latency_ms)
        self._mean.record(latency_ms)


@attrs.define(kw_only=True)
class LatencyBaselines:
    """Latency baselines of all routes, by name of the route."""

    _baselines: dict[str, LatencyBaseline] = attrs.field(factory=dict)

    def for_route(self, route: Route) -> LatencyBaseline:
        """Return the latency baseline of a route; create it if necessary."""
        baseline = self._baselines.get(route.name)
        if baseline is None:
            baseline = latency_baseline(route.latency_target_ms)
            self._baselines[route.name] = baseline
        return baseline


def latency_baseline(latency_target_ms: float) -> LatencyBaseline:
    """Create the latency baseline of a route without responses."""
    return LatencyBaseline(
        latency_target_ms=latency_target_ms,
        latencies=latencies(),
        mean=ObservedLatency(),
    )
