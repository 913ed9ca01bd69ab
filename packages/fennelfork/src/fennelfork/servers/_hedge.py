"""Hedge policies and the latency histograms that they use."""

import functools
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

_US_PER_MS: Final = 1000
_MAX_LATENCY_US: Final = 60_000_000
_DIGITS: Final = 2
_PERCENT: Final = 100
_HALF: Final = 0.5
# Number of new samples after which cached quantiles are recomputed.
_REFRESH_SAMPLES: Final = 128
# Number of samples of one window.
_WINDOW_SAMPLES: Final = 2000
# Minimum number of samples for a quantile.
_MIN_SAMPLES: Final = 50


@attrs.define(kw_only=True)
class Latencies:
    """Recent latencies of one shard, in two rotating windows."""

    _recent: HdrHistogram
    _older: HdrHistogram
    _count: int = 0
    _window_count: int = 0
    _cached_quantiles: dict[float, float] = attrs.field(factory=dict)

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples to compute a quantile."""
        return self._count >= _MIN_SAMPLES

    @property
    def median_ms(self) -> float:
        """Median latency, or zero while there are too few samples."""
        return self.quantile_ms(_HALF) if self.has_enough_samples else 0

    def record(self, latency_ms: float) -> None:
        """Record one latency sample."""
        self._recent.record_value(
            min(_MAX_LATENCY_US, max(1, int(latency_ms * _US_PER_MS))),
        )
        self._count += 1
        self._window_count += 1
        if self._count % _REFRESH_SAMPLES == 0:
            self._cached_quantiles.clear()
        if self._window_count >= _WINDOW_SAMPLES:
            self._rotate_windows()

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the latency, which may be cached.

        Args:
            quantile: number between 0 and 1.
        """
        latency_ms = self._cached_quantiles.get(quantile)
        if latency_ms is None:
            latency_ms = self._compute_ms(quantile)
            self._cached_quantiles[quantile] = latency_ms
        return latency_ms

    def _compute_ms(self, quantile: float) -> float:
        percent = quantile * _PERCENT
        counted = (
            (window.total_count, window.get_value_at_percentile(percent))
            for window in (self._recent, self._older)
            if window.total_count
        )
        # The window with more samples estimates the tail better.
        _total, found_us = max(counted, default=(0, 0))
        return float(found_us) / _US_PER_MS

    def _rotate_windows(self) -> None:
        oldest = self._older
        oldest.reset()
        self._older = self._recent
        self._recent = oldest
        self._window_count = 0
        self._cached_quantiles.clear()


@attrs.frozen(kw_only=True)
class NoHedge:
    """Policy that sends no hedges."""


@attrs.frozen(kw_only=True)
class FixedHedge:
    """Policy that sends a hedge after a fixed delay."""

    delay_ms: float


@attrs.frozen(kw_only=True)
class QuantileHedge:
    """Policy that sends a hedge after a latency quantile of the shard.

    Attributes:
        quantile: number between 0 and 1.
        delay_ms: delay while there are too few latency samples.
    """

    quantile: float
    delay_ms: float


HedgePolicy = NoHedge | FixedHedge | QuantileHedge


def latencies() -> Latencies:
    """Create an empty latency record."""
    return Latencies(recent=_create_window(), older=_create_window())


@functools.singledispatch
def hedge_delay_ms(policy: object, recent: Latencies) -> float | None:
    """Return how long to wait for a response before a hedge is sent.

    Args:
        policy: hedge policy of the front.
        recent: recent latencies of the shard.

    Returns:
        The delay, or `None` if no hedge is sent.

    Raises:
        TypeError: if `policy` is not a hedge policy.
    """
    raise TypeError(f'unsupported hedge policy: {policy!r}')


@hedge_delay_ms.register
def _no_delay(policy: NoHedge, recent: Latencies) -> None:
    """Return no delay, since `NoHedge` sends no hedges."""


@hedge_delay_ms.register
def _fixed_delay(policy: FixedHedge, recent: Latencies) -> float:
    return policy.delay_ms


@hedge_delay_ms.register
def _quantile_delay(policy: QuantileHedge, recent: Latencies) -> float:
    if recent.has_enough_samples:
        return recent.quantile_ms(policy.quantile)
    return policy.delay_ms


def _create_window() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY_US, _DIGITS)
