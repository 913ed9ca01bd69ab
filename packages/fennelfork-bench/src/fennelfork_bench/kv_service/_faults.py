"""Faults and rate limits of the key-value stand-in."""

from typing import Final

import attrs

from fennelfork import Clock

_MS_PER_S: Final = 1000


@attrs.define(kw_only=True)
class Faults:
    """Faults that are set through `POST /control/faults`.

    Attributes:
        down: whether each connection is closed before the call takes effect.
        slow_ms: delay before each call takes effect.
        lose_replies: number of writes still to be applied and then answered
            by a closed connection.
        stall_watches: whether open watches send no events.
        refuse: whether each call is refused like a call above the rate limit.
    """

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    stall_watches: bool = False
    refuse: bool = False

    def consume_lost_reply(self) -> bool:
        """Return whether the response to the current write is dropped."""
        if self.lose_replies < 1:
            return False
        self.lose_replies -= 1
        return True


@attrs.define(kw_only=True)
class RateLimiter:
    """Token bucket with a burst of one second; a rate of 0 means no limit."""

    per_s: float
    _clock: Clock
    _tokens: float = 0
    _refilled_ms: float = 0

    def try_acquire(self) -> bool:
        """Take a token and return whether one was available."""
        if not self.per_s:
            return True
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) * self.per_s / _MS_PER_S
        self._tokens = min(self.per_s, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
