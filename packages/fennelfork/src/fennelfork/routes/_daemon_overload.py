"""Overload of a daemon, during which the daemon asks for fewer callers."""

from typing import Final

import attrs

from fennelfork._clock import Clock

# Weight of the latest measurement in the moving average.
_LATEST_WEIGHT: Final = 0.3
# Busy share of the event loop above which requests wait for each other.
_MAX_BUSY_RATIO: Final = 0.7
# Busy share, with all usual callers, below which an overload ends.
_RELEASE_BUSY_RATIO: Final = 0.4
# Callers that return to a daemon open new connections, so an overload lasts.
_MIN_DURATION_MS: Final = 10_000.0


@attrs.define(kw_only=True)
class DaemonOverload:
    """Overload of one daemon, derived from measurements of its event loop.

    Attributes:
        is_active: whether the daemon is overloaded.
        busy_ratio: moving average of the busy share of the event loop, 0 to 1.
    """

    is_active: bool = False
    busy_ratio: float = 0
    _clock: Clock
    _started_ms: float = 0

    def record(self, busy_ratio: float, callers_ratio: float) -> bool:
        """Record a measurement and return whether the state has changed.

        Args:
            busy_ratio: share of the time in which the event loop worked.
            callers_ratio: share of the usual callers that the daemon has now, as
                other daemons serve the rest during an overload.
        """
        self.busy_ratio += _LATEST_WEIGHT * (busy_ratio - self.busy_ratio)
        was_active = self.is_active
        if not was_active and self.busy_ratio > _MAX_BUSY_RATIO:
            self.is_active = True
            self._started_ms = self._clock.now_ms()
        elif was_active and self._may_end(callers_ratio):
            self.is_active = False
        return self.is_active is not was_active

    def _may_end(self, callers_ratio: float) -> bool:
        duration_ms = self._clock.now_ms() - self._started_ms
        return (
            duration_ms >= _MIN_DURATION_MS
            and self.busy_ratio < _RELEASE_BUSY_RATIO * callers_ratio
        )
