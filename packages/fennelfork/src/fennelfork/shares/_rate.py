"""Recent rate of events."""

import math
from typing import Final

import attrs

RATE_WINDOW_MS: Final = 300.0
# Minimum age of a rate; avoids extreme values after the first event.
_MIN_RATE_AGE_MS: Final = 50.0


@attrs.define(kw_only=True)
class Rate:
    """Rate of events with exponential decay.

    Attributes:
        window_ms: time constant of the decay.
    """

    window_ms: float = RATE_WINDOW_MS
    _since_ms: float
    _at_ms: float
    _count: float = 0

    def record(self, now_ms: float, weight: float) -> None:
        """Record an event that represents `weight` events."""
        self._decay(now_ms)
        self._count += weight

    def per_ms(self, now_ms: float) -> float:
        """Return the recent number of events per millisecond."""
        self._decay(now_ms)
        age_ms = max(_MIN_RATE_AGE_MS, now_ms - self._since_ms)
        observed_fraction = 1 - math.exp(-age_ms / self.window_ms)
        return self._count / (self.window_ms * observed_fraction)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._count *= math.exp(-elapsed_ms / self.window_ms)
        self._at_ms = now_ms
