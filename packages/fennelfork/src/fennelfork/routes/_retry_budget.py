"""Retry budgets: limits on the extra attempts of this daemon per service.

Within any time window, all daemons together may send a service extra attempts
for a ratio of its requests, plus a fixed number. Each daemon applies this to its
own requests and its share of the fixed number: in every time span up to a window,
its extra attempts are at most the ratio times its requests of the same span, plus
its share. The sum over all daemons then keeps to the limit, also while requests
move from some daemons to others.
"""

import itertools
from collections import deque
from collections.abc import Iterator
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.membership import FleetShare

# Fraction of the fixed number that is used; the rest covers attempts that
# arrive later than expected, or at another service than the one meant.
_MARGIN: Final = 0.9
# Time within which an attempt arrives after it was counted.
_ARRIVAL_DELAY_MS: Final = 1000.0
# Span before an extra attempt whose requests pay for it too, at a daemon without
# a share of the fixed number.
_CREDIT_MS: Final = 2000.0


@attrs.frozen(kw_only=True)
class RetryPolicy:
    """Limit on the extra attempts of all daemons together.

    Attributes:
        ratio: extra attempts per request.
        fixed: extra attempts per window in addition to the ratio.
        window_ms: length of the window in milliseconds.
    """

    ratio: float
    fixed: float
    window_ms: float


@attrs.frozen(kw_only=True)
class _ExtraAttempt:
    """Extra attempt with the requests at its time.

    Attributes:
        sent_ms: time of the attempt.
        requests: number of requests before the attempt.
        recent_requests: those of them that are more recent than the credit.
    """

    sent_ms: float
    requests: int
    recent_requests: int


@attrs.define(kw_only=True)
class _ServiceCounts:
    """Recent extra attempts to one service, and its requests."""

    requests: int = 0
    recent_ms: deque[float] = attrs.field(factory=deque)
    extra_attempts: deque[_ExtraAttempt] = attrs.field(factory=deque)

    def record_request(self, now_ms: float) -> None:
        """Record a request."""
        self.requests += 1
        self.recent_ms.append(now_ms)
        self._discard_requests(now_ms)

    def next_attempt(self, now_ms: float) -> _ExtraAttempt:
        """Return an extra attempt that is sent now, without recording it."""
        self._discard_requests(now_ms)
        return _ExtraAttempt(
            sent_ms=now_ms,
            requests=self.requests,
            recent_requests=len(self.recent_ms),
        )

    def discard_attempts_before(self, before_ms: float) -> None:
        """Remove the extra attempts that are older than a point in time."""
        while (
            self.extra_attempts and self.extra_attempts[0].sent_ms < before_ms
        ):
            self.extra_attempts.popleft()

    def spans(self, upcoming: _ExtraAttempt) -> Iterator[_ExtraAttempt]:
        """Return the first attempts of all spans that end now.

        The spans contain one extra attempt, two and so on.
        """
        return itertools.chain((upcoming,), reversed(self.extra_attempts))

    def _discard_requests(self, now_ms: float) -> None:
        while self.recent_ms and self.recent_ms[0] < now_ms - _CREDIT_MS:
            self.recent_ms.popleft()


@attrs.define(kw_only=True)
class RetryBudgets:
    """Counts the requests and extra attempts of each service.

    Attributes:
        policy: limit on the extra attempts of all daemons together.
    """

    policy: RetryPolicy
    _clock: Clock
    _fleet_share: FleetShare
    _counts: dict[str, _ServiceCounts] = attrs.field(factory=dict)

    def record_request(self, service: str) -> None:
        """Record the first attempt of a request to a service."""
        self._counts_of(service).record_request(self._clock.now_ms())

    def try_spend(self, service: str) -> bool:
        """Record an extra attempt if the budget of the service allows it.

        Returns:
            Whether the extra attempt may be sent.
        """
        now_ms = self._clock.now_ms()
        counts = self._counts_of(service)
        span_ms = self.policy.window_ms + _ARRIVAL_DELAY_MS
        counts.discard_attempts_before(now_ms - span_ms)
        upcoming = counts.next_attempt(now_ms)
        if not self._allows(counts, upcoming):
            return False
        counts.extra_attempts.append(upcoming)
        return True

    def _allows(self, counts: _ServiceCounts, upcoming: _ExtraAttempt) -> bool:
        """Whether each span that ends with an attempt is within the limit."""
        fixed_part = _MARGIN * self._fleet_share.share * self.policy.fixed
        has_credit = fixed_part < 1
        for count, first in enumerate(counts.spans(upcoming), start=1):
            paying = counts.requests - first.requests
            if has_credit:
                limit = self.policy.ratio * (paying + first.recent_requests)
            else:
                limit = self.policy.ratio * paying + fixed_part
            if count > limit:
                return False
        return True

    def _counts_of(self, service: str) -> _ServiceCounts:
        return self._counts.setdefault(service, _ServiceCounts())


def retry_budgets(
    policy: RetryPolicy,
    clock: Clock,
    fleet_share: FleetShare,
) -> RetryBudgets:
    """Create the retry budgets of a daemon that starts now.

    Args:
        policy: limit on the extra attempts of all daemons together.
        clock: clock of this daemon.
        fleet_share: share of this daemon in the fixed number.
    """
    return RetryBudgets(policy=policy, clock=clock, fleet_share=fleet_share)
