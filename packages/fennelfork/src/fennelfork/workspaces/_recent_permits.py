"""Permits that may have been used within the windows that contain now."""

from collections import deque
from typing import Final

import attrs

# Resolution of the times of grants.
_SLOT_MS: Final = 250.0


@attrs.define(kw_only=True)
class _Slot:
    """Permits of an interval of `_SLOT_MS`.

    Attributes:
        start_ms: start of the interval.
        outstanding: permits in advance at other daemons at the start.
        granted: permits granted in the interval, less the returned ones.
    """

    start_ms: float
    outstanding: float
    granted: float = 0

    @property
    def end_ms(self) -> float:
        """End of the interval."""
        return self.start_ms + _SLOT_MS


@attrs.define(kw_only=True)
class RecentPermits:
    """Permits that an owner has granted recently, by the time of the grant.

    Attributes:
        span_ms: time for which grants are kept; the length of a window.
    """

    span_ms: float
    _slots: deque[_Slot] = attrs.field(factory=deque)

    def advance(self, now_ms: float, outstanding: float) -> None:
        """Begin a new slot if the last one has ended.

        Args:
            now_ms: current time.
            outstanding: permits in advance at other daemons.
        """
        while self._slots and self._slots[0].end_ms < now_ms - self.span_ms:
            self._slots.popleft()
        if not self._slots or self._slots[-1].end_ms <= now_ms:
            self._slots.append(_Slot(start_ms=now_ms, outstanding=outstanding))

    def record(self, granted: float) -> None:
        """Record permits that were granted now, or returned if negative."""
        self._slots[-1].granted += granted

    def most_in_window(self, rate_per_ms: float, now_ms: float) -> float:
        """Return the most permits that any window which contains now may use.

        The permits that the rate adds until the end of the window are included.

        Args:
            rate_per_ms: permits that the owner gains in a millisecond from now.
            now_ms: current time.
        """
        most = rate_per_ms * self.span_ms
        granted: float = 0
        for slot in reversed(self._slots):
            granted += slot.granted
            passed_ms = max(0, now_ms - slot.end_ms)
            gained = rate_per_ms * max(0, self.span_ms - passed_ms)
            most = max(most, slot.outstanding + granted + gained)
        return most
