"""Response times of the servers of a route, for forecasts of late responses."""

import bisect
import itertools
from typing import Final

import attrs

from fennelfork.servers._rank import ObservedLatency

# Upper bounds of the ratios of a response time to the expected one. A response
# beyond the last bound is not expected any more.
_RATIO_BOUNDS: Final = (0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0)
# Responses per interval that are assumed before the first response.
_INITIAL_COUNTS: Final = (
    2.0,
    4.0,
    6.0,
    4.0,
    2.0,
    1.0,
    0.5,
    0.2,
    0.1,
    0.1,
    0.1,
)
# Counts are halved at this total, so that recent responses have more weight.
_MAX_TOTAL: Final = 4000.0
_HALF: Final = 0.5


@attrs.define(kw_only=True)
class ResponseTimes:
    """Distribution of the response times of one route.

    The distribution is kept as ratios to the expected response time of the
    server, so that slow and distant servers share one distribution.
    """

    _means: dict[str, ObservedLatency] = attrs.field(factory=dict)
    _counts: list[float] = attrs.field(factory=lambda: list(_INITIAL_COUNTS))
    _beyond: list[float] | None = None

    def mean_ms(self, data_centre: str, default_ms: float) -> float:
        """Return the mean response time of the servers of a data centre.

        Args:
            data_centre: data centre of the servers.
            default_ms: result before the first response.
        """
        known = self._means.get(data_centre)
        return default_ms if known is None else known.mean_ms

    def hedge_ms(self, default_ms: float) -> float:
        """Return the response time to expect of a server not chosen yet.

        A hedge may go to the most distant data centre.

        Args:
            default_ms: result before the first response.
        """
        return max(
            (known.mean_ms for known in self._means.values()),
            default=default_ms,
        )

    def record(
        self, data_centre: str, took_ms: float, expected_ms: float
    ) -> None:
        """Record a response.

        Args:
            data_centre: data centre of the server.
            took_ms: response time.
            expected_ms: response time that was expected.
        """
        known = self._means.get(data_centre)
        if known is None:
            known = ObservedLatency()
            self._means[data_centre] = known
        known.record(took_ms)
        self._count(bisect.bisect_left(_RATIO_BOUNDS, took_ms / expected_ms))

    def record_missing(self) -> None:
        """Record that a response did not arrive at all."""
        self._count(len(_RATIO_BOUNDS))

    def arrival_chance(
        self, age_ms: float, wait_ms: float, expected_ms: float
    ) -> float:
        """Return the chance that an outstanding response arrives in time.

        Args:
            age_ms: time since the attempt was sent.
            wait_ms: time that is left for the response.
            expected_ms: expected response time of the server.
        """
        before = self._share_beyond(age_ms / expected_ms)
        if before <= 0:
            return 0
        after = self._share_beyond((age_ms + wait_ms) / expected_ms)
        return 1 - after / before

    def _share_beyond(self, ratio: float) -> float:
        """Return the share of responses that take longer than a ratio."""
        beyond = self._beyond_bounds()
        position = bisect.bisect_left(_RATIO_BOUNDS, ratio)
        if position == len(_RATIO_BOUNDS):
            return 0
        lower = _RATIO_BOUNDS[position - 1] if position else 0
        part = (ratio - lower) / (_RATIO_BOUNDS[position] - lower)
        start = beyond[position - 1] if position else 1
        return start + part * (beyond[position] - start)

    def _beyond_bounds(self) -> list[float]:
        if self._beyond is None:
            total = sum(self._counts)
            cumulated = itertools.accumulate(self._counts[:-1])
            self._beyond = [1 - count / total for count in cumulated]
        return self._beyond

    def _count(self, interval: int) -> None:
        self._counts[interval] += 1
        self._beyond = None
        if sum(self._counts) >= _MAX_TOTAL:
            self._counts = [count * _HALF for count in self._counts]
