"""When a second copy of a sub-query is worth sending."""

import functools
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

_US_PER_MS: Final = 1000
_MAX_LATENCY_US: Final = 60_000_000
_DIGITS: Final = 2
_PERCENT: Final = 100
_HALF: Final = 0.5
# A quantile is read again after this many new samples.
_REFRESH_SAMPLES: Final = 128
# Samples of one window; the answer comes from the last one or two windows.
_WINDOW_SAMPLES: Final = 2000
# Fewer samples say too little about a tail.
_MIN_SAMPLES: Final = 50


@attrs.define(kw_only=True)
class Latencies:
    """Recent latencies of one shard, in two windows that take turns."""

    _recent: HdrHistogram
    _older: HdrHistogram
    _count: int = 0
    _window_count: int = 0
    _cached_quantiles: dict[float, float] = attrs.field(factory=dict)

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples to read a quantile."""
        return self._count >= _MIN_SAMPLES

    @property
    def median_ms(self) -> float:
        """The median, or zero while too little is known."""
        return self.quantile_ms(_HALF) if self.has_enough_samples else 0

    def record(self, latency_ms: float) -> None:
        """Add one sample."""
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
        """Read a quantile, at most a few samples old.

        Args:
            quantile: between 0 and 1.
        """
        found = self._cached_quantiles.get(quantile)
        if found is None:
            found = self._compute_ms(quantile)
            self._cached_quantiles[quantile] = found
        return found

    def _compute_ms(self, quantile: float) -> float:
        percent = quantile * _PERCENT
        counted = (
            (window.total_count, window.get_value_at_percentile(percent))
            for window in (self._recent, self._older)
            if window.total_count
        )
        # The fuller window speaks: a young one knows no tail.
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
    """Never send a second copy."""


@attrs.frozen(kw_only=True)
class FixedHedge:
    """Send a second copy after a fixed delay."""

    delay_ms: float


@attrs.frozen(kw_only=True)
class QuantileHedge:
    """Send a second copy after a quantile of the shard's own latency.

    Attributes:
        quantile: between 0 and 1.
        delay_ms: the delay until enough latencies are known.
    """

    quantile: float
    delay_ms: float


HedgePolicy = NoHedge | FixedHedge | QuantileHedge


def latencies() -> Latencies:
    """Build an empty record of latencies."""
    return Latencies(recent=_window(), older=_window())


@functools.singledispatch
def hedge_delay_ms(policy: object, recent: Latencies) -> float | None:
    """Tell how long to wait for a reply before a second copy is sent.

    Args:
        policy: the front's policy.
        recent: recent latencies of the shard.

    Returns:
        The delay, or none if no copy is ever sent.

    Raises:
        TypeError: for a policy of another type.
    """
    raise TypeError(f'not a hedge policy: {policy!r}')


@hedge_delay_ms.register
def _no_delay(policy: NoHedge, recent: Latencies) -> None:
    """Never."""


@hedge_delay_ms.register
def _fixed_delay(policy: FixedHedge, recent: Latencies) -> float:
    return policy.delay_ms


@hedge_delay_ms.register
def _quantile_delay(policy: QuantileHedge, recent: Latencies) -> float:
    if recent.has_enough_samples:
        return recent.quantile_ms(policy.quantile)
    return policy.delay_ms


def _window() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY_US, _DIGITS)
