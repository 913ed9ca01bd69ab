"""How long to wait before the platform is asked again."""

import random

import attrs

from fennelfork._clock import Clock

_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Backoff:
    """Exponential backoff, capped and jittered.

    Attributes:
        base_ms: the least wait, and the bound after the first failure.
        cap_ms: the bound after many failures.
    """

    base_ms: float
    cap_ms: float

    def delay_ms(self, failures: int, jitter: random.Random) -> float:
        """Draw the wait after `failures` failures in a row.

        Args:
            failures: how many calls failed since the last success.
            jitter: spreads the waits of many daemons.

        Returns:
            Zero without a failure, else a wait drawn evenly from `base_ms` to
            a bound that doubles with each failure.
        """
        if not failures:
            return 0
        doublings = min(failures - 1, self._max_doublings)
        bound = min(self.cap_ms, self.base_ms * 2**doublings)
        return jitter.uniform(self.base_ms, bound)

    @property
    def _max_doublings(self) -> int:
        return int(self.cap_ms / self.base_ms).bit_length()


@attrs.define(kw_only=True)
class TokenBucket:
    """A token bucket on calls to the platform.

    Attributes:
        per_second: how fast tokens come back.
        burst: how many tokens it holds at most.
    """

    per_second: float
    burst: float
    _clock: Clock
    _tokens: float
    _refilled_ms: float

    def wait_ms(self) -> float:
        """Give how long until the next call is allowed; zero for now."""
        self._refill()
        missing = max(0, 1 - self._tokens)
        return missing * _MS_PER_SECOND / self.per_second

    def try_acquire(self) -> bool:
        """Take a token if there is one.

        Returns:
            Whether the call may be made.
        """
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        added = (now_ms - self._refilled_ms) * self.per_second / _MS_PER_SECOND
        self._tokens = min(self.burst, self._tokens + added)
        self._refilled_ms = now_ms


def token_bucket(clock: Clock, per_second: float, burst: float) -> TokenBucket:
    """Build a full bucket.

    Raises:
        ValueError: if the rate is not positive or no call ever fits.
    """
    if per_second <= 0 or burst < 1:
        raise ValueError(f'no call fits: {per_second} a second, {burst}')
    return TokenBucket(
        per_second=per_second,
        burst=burst,
        clock=clock,
        tokens=burst,
        refilled_ms=clock.now_ms(),
    )
