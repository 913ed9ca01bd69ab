"""Faults and rate limits of the key-value stand-in."""

from typing import Final

import attrs

from fennelfork import Clock

_MS_PER_S: Final = 1000


@attrs.define(kw_only=True)
class Faults:
    """What is switched on by `POST /control/faults`.

    Attributes:
        down: each call is cut before it has any effect.
        slow_ms: each call waits this long before it has an effect.
        lose_replies: so many next writes take effect and are then cut.
        stall_watches: watches stay open and send nothing.
        refuse: each call is refused as above the rate.
    """

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    stall_watches: bool = False
    refuse: bool = False

    def takes_reply(self) -> bool:
        """Tell whether the reply to this write is to be lost."""
        if self.lose_replies < 1:
            return False
        self.lose_replies -= 1
        return True


@attrs.define(kw_only=True)
class Rate:
    """A token bucket of one second's calls; 0 a second means no limit."""

    per_s: float
    _clock: Clock
    _tokens: float = 0
    _filled_ms: float = 0

    def take(self) -> bool:
        """Take one token, or tell that there is none."""
        if not self.per_s:
            return True
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._filled_ms) * self.per_s / _MS_PER_S
        self._tokens = min(self.per_s, self._tokens + gained)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
