"""Exponential backoff and rate limits for calls to the platform."""

import random

import attrs

from fennelfork._clock import Clock

_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Backoff:
    """Exponential backoff with a cap and random jitter.

    Attributes:
        base_ms: minimum delay, and maximum delay after the first failure.
        cap_ms: maximum delay after any number of failures.
    """

    base_ms: float
    cap_ms: float

    def delay_ms(self, failures: int, jitter: random.Random) -> float:
        """Return a random delay after `failures` consecutive failures.

        Args:
            failures: number of failed calls since the last success.
            jitter: random source that spreads the retries of many daemons.

        Returns:
            Zero if there was no failure, otherwise a uniformly distributed
            delay between `base_ms` and a maximum that doubles with each
            failure.
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
    """A token bucket that limits the rate of operations.

    Attributes:
        per_second: number of tokens added each second.
        burst: maximum number of tokens in the bucket.
    """

    per_second: float
    burst: float
    _clock: Clock
    _tokens: float
    _refilled_ms: float

    def wait_ms(self) -> float:
        """Return the time until a token is available, zero if one is now."""
        self._refill()
        missing = max(0, 1 - self._tokens)
        return missing * _MS_PER_SECOND / self.per_second

    def try_acquire(self) -> bool:
        """Remove a token if the bucket holds one.

        Returns:
            Whether a token was removed, so that the operation is allowed.
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
    """Build a full token bucket.

    Raises:
        ValueError: if the rate is not positive or the burst is below one.
    """
    if per_second <= 0 or burst < 1:
        raise ValueError(
            'the rate must be positive and the burst at least 1, '
            f'got rate {per_second} and burst {burst}',
        )
    return TokenBucket(
        per_second=per_second,
        burst=burst,
        clock=clock,
        tokens=burst,
        refilled_ms=clock.now_ms(),
    )
