"""Largest recent values of a measure of the fleet."""

import math
from typing import Final

import attrs

from fennelfork._clock import Clock

# Time for all daemons to register after the whole fleet has restarted. The
# first daemon that is back sees itself alone, the others register within a
# second or two.
_SETTLING_MS: Final = 3000.0


@attrs.define(kw_only=True)
class FleetMaximum:
    """Tracks the maximum of a measure of the fleet within a sliding window.

    The measure grows with the number of daemons that share a limit. A daemon
    that has left may have used its share of the current window, so the share is
    redistributed only after the window has passed.
    """

    _clock: Clock
    _window_ms: float
    _seen: list[tuple[float, float]] = attrs.field(factory=list)
    _first_ms: float = math.inf

    @property
    def is_settled(self) -> bool:
        """Whether daemons that started at the same time could register."""
        return self._clock.now_ms() - self._first_ms >= _SETTLING_MS

    @property
    def maximum(self) -> float:
        """Maximum within the window, at least one."""
        self._discard_old()
        return max((measured for _at, measured in self._seen), default=1)

    def record(self, measured: float) -> None:
        """Record the current value, which includes this daemon."""
        self._discard_old()
        now_ms = self._clock.now_ms()
        self._first_ms = min(self._first_ms, now_ms)
        self._seen.append((now_ms, max(1, measured)))

    def _discard_old(self) -> None:
        """Discard values that were superseded before the window began."""
        if len(self._seen) <= 1:
            return
        oldest_ms = self._clock.now_ms() - self._window_ms
        if self._seen[1][0] > oldest_ms:
            return
        replaced = sum(at_ms <= oldest_ms for at_ms, _measured in self._seen)
        self._seen = self._seen[max(0, replaced - 1) :]
