"""How many daemons to share a limit with."""

import math
from typing import Final

import attrs

from fennelfork._clock import Clock

# After a loss of all power the first daemon back sees itself alone; the others
# register within a second or two.
_SETTLED_MS: Final = 3000.0


@attrs.define(kw_only=True)
class FleetSize:
    """The most daemons that were seen within a recent time.

    A daemon that left a moment ago may still have used its share of a window,
    so its share is not handed on before the window has passed.
    """

    _clock: Clock
    _window_ms: float
    _seen: list[tuple[float, int]] = attrs.field(factory=list)
    _first_ms: float = math.inf

    @property
    def known(self) -> bool:
        """Whether the fleet was seen at all."""
        return bool(self._seen)

    @property
    def settled(self) -> bool:
        """Whether others that started with this daemon had time to be seen."""
        return self._clock.now_ms() - self._first_ms >= _SETTLED_MS

    @property
    def most(self) -> int:
        """The most daemons seen within the window, at least one."""
        self._forget()
        return max((count for _at, count in self._seen), default=1)

    def note(self, count: int) -> None:
        """Note how many daemons there are now, this one included."""
        self._forget()
        now_ms = self._clock.now_ms()
        self._first_ms = min(self._first_ms, now_ms)
        self._seen.append((now_ms, max(1, count)))

    def _forget(self) -> None:
        """Drop counts that were replaced before the window began."""
        oldest_ms = self._clock.now_ms() - self._window_ms
        replaced = sum(at_ms <= oldest_ms for at_ms, _count in self._seen)
        self._seen = self._seen[max(0, replaced - 1) :]
