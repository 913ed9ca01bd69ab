"""Retry budgets: limits on the extra attempts of this daemon per service.

Within any time window, all daemons together may send a service extra attempts
for a ratio of its requests, plus a fixed number. Each daemon applies this to its
own requests and its share of the fixed number: in every time span up to a window,
its extra attempts are at most the ratio times its requests of the same span, plus
its share. The sum over all daemons then keeps to the limit, also while requests
move from some daemons to others. Requests that may be tests of the platform pay
for nothing: the limit counts the requests of callers, and the tests grow with
the number of daemons. While the share is not usable, the requests of
the last window must pay for all extra attempts of that window in addition; a share
of less than one attempt is replaced by that condition.
"""

import itertools
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.membership import FleetShare
from fennelfork.routes._config_tests import ConfigTests

# Fraction of the fixed number that is used; the rest covers attempts that
# arrive later than expected, or at another service than the one meant.
_MARGIN: Final = 0.9
# Time within which an attempt arrives after it was counted.
_ARRIVAL_DELAY_MS: Final = 1000.0


@attrs.frozen(kw_only=True)
class RetryPolicy:
    """Limit on the extra attempts of all daemons together.

    Attributes:
        ratio: extra attempts per request.
        fixed: extra attempts per window in addition to the ratio.
        window_ms: length of the window in milliseconds.
        tests_per_s: requests that each daemon gets in a second from the
            platform, which tests the configuration by them.
    """

    ratio: float
    fixed: float
    window_ms: float
    tests_per_s: float = 0


@attrs.frozen(kw_only=True)
class _ExtraAttempt:
    """Extra attempt to a service.

    Attributes:
        sent_ms: time of the attempt.
        requests_before: number of requests of callers to the service before
            the attempt.
    """

    sent_ms: float
    requests_before: int


@attrs.define(kw_only=True)
class _ServiceCounts:
    """Recent extra attempts to one service, and its requests of callers.

    Attributes:
        tests: requests that may be tests.
        requests: number of other requests since the start.
        requests_ms: times of the recent other requests.
        extra_attempts: recent extra attempts, oldest first.
    """

    tests: ConfigTests = attrs.field(factory=ConfigTests)
    requests: int = 0
    requests_ms: deque[float] = attrs.field(factory=deque)
    extra_attempts: deque[_ExtraAttempt] = attrs.field(factory=deque)

    def record_request(self, now_ms: float) -> None:
        """Record a request of a caller."""
        self.requests += 1
        self.requests_ms.append(now_ms)

    def discard_before(self, before_ms: float) -> None:
        """Remove all entries that are older than a point in time."""
        while self.requests_ms and self.requests_ms[0] < before_ms:
            self.requests_ms.popleft()
        attempts = self.extra_attempts
        while attempts and attempts[0].sent_ms < before_ms:
            attempts.popleft()

    def spans(self, upcoming: _ExtraAttempt) -> Iterator[_ExtraAttempt]:
        """Return the first attempts of all spans that end with an attempt.

        The spans contain one extra attempt, two and so on.
        """
        return itertools.chain((upcoming,), reversed(self.extra_attempts))


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
        counts = self._recent_counts(service)
        now_ms = self._clock.now_ms()
        if not counts.tests.may_include(now_ms, self.policy.tests_per_s):
            counts.record_request(now_ms)

    def try_spend(self, service: str) -> bool:
        """Record an extra attempt if the budget of the service allows it.

        Returns:
            Whether the extra attempt may be sent.
        """
        counts = self._recent_counts(service)
        fixed_part = self._compute_fixed_part()
        is_proven = fixed_part >= 1 and self._fleet_share.is_usable
        if not (is_proven or self._is_paid(counts)):
            return False
        upcoming = _ExtraAttempt(
            sent_ms=self._clock.now_ms(), requests_before=counts.requests
        )
        if fixed_part >= 1 and not self._is_within(
            fixed_part, counts.spans(upcoming), counts.requests
        ):
            return False
        counts.extra_attempts.append(upcoming)
        return True

    def _compute_fixed_part(self) -> float:
        """Return the part of this daemon in the fixed number, usable or not."""
        share = self._fleet_share.nominal_share
        return _MARGIN * share * self.policy.fixed

    def _is_paid(self, counts: _ServiceCounts) -> bool:
        """Whether the recent requests pay for one more extra attempt."""
        attempts = len(counts.extra_attempts) + 1
        return attempts <= self.policy.ratio * len(counts.requests_ms)

    def _is_within(
        self,
        fixed_part: float,
        spans: Iterable[_ExtraAttempt],
        requests: int,
    ) -> bool:
        """Whether the limit holds in each of the time spans that end now.

        Args:
            fixed_part: part of this daemon in the fixed number.
            spans: first extra attempt of each span, the shortest one first.
            requests: number of requests of callers until now.
        """
        return all(
            attempts
            <= self.policy.ratio * (requests - first.requests_before)
            + fixed_part
            for attempts, first in enumerate(spans, start=1)
        )

    def _recent_counts(self, service: str) -> _ServiceCounts:
        """Return the counts of a service within the window.

        An attempt may arrive late, so the counts reach back a little further.
        """
        counts = self._counts.setdefault(service, _ServiceCounts())
        span_ms = self.policy.window_ms + _ARRIVAL_DELAY_MS
        counts.discard_before(self._clock.now_ms() - span_ms)
        return counts


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
