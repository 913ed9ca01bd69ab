"""Retry budgets: limits on the extra attempts of this daemon per service.

Within any time window, all daemons together may send a service extra attempts
for a ratio of its requests, plus a fixed number. The limit counts arrivals. An
attempt may arrive at any time between the decision to send it and its end, so it
counts during all of that time and for one window after it. In every time span up to
a window, the extra attempts of a daemon that are in flight or ended in the span are
at most the ratio times its requests of the same span, plus its share of the fixed
number. The sum over all daemons then keeps to the limit, however late the daemons,
their connections and the backend servers are, and while requests move from some
daemons to others. Requests that may be tests of the platform pay for nothing: the
limit counts the requests of callers, and the tests grow with the number of daemons.
While the share is not usable, the requests of the last window must pay for all extra
attempts of that window in addition; a share of less than one attempt is replaced by
that condition.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.membership import FleetShare
from fennelfork.routes._config_tests import ConfigTests

# Fraction of the fixed number that is used; the rest covers attempts that
# arrive at another service than the one meant.
_MARGIN: Final = 0.9
# Time for which a request may wait to be read and still pay for extra attempts.
_MAX_UNREAD_MS: Final = 1000.0


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
class _EndedAttempt:
    """Extra attempt that cannot arrive any more.

    Attributes:
        ended_ms: time of the end.
        requests_before: number of requests of callers to the service before
            the end.
    """

    ended_ms: float
    requests_before: int


@attrs.define(kw_only=True)
class _ServiceCounts:
    """Recent extra attempts to one service, and its requests of callers.

    Attributes:
        tests: requests that may be tests.
        requests: number of other requests since the start.
        requests_ms: times of the recent other requests.
        in_flight: number of extra attempts that may still arrive.
        ended: extra attempts that ended recently, oldest first.
    """

    tests: ConfigTests = attrs.field(factory=ConfigTests)
    requests: int = 0
    requests_ms: deque[float] = attrs.field(factory=deque)
    in_flight: int = 0
    ended: deque[_EndedAttempt] = attrs.field(factory=deque)

    @property
    def extra_attempts(self) -> int:
        """Number of extra attempts that may arrive in the current window."""
        return self.in_flight + len(self.ended)

    def record_request(self, now_ms: float) -> None:
        """Record a request of a caller."""
        self.requests += 1
        self.requests_ms.append(now_ms)

    def record_end(self, now_ms: float) -> None:
        """Record the end of an extra attempt, or an arrival that counts as one."""
        self.ended.append(
            _EndedAttempt(ended_ms=now_ms, requests_before=self.requests)
        )

    def discard_before(self, before_ms: float) -> None:
        """Remove all entries that are older than a point in time."""
        while self.requests_ms and self.requests_ms[0] < before_ms:
            self.requests_ms.popleft()
        while self.ended and self.ended[0].ended_ms < before_ms:
            self.ended.popleft()

    def spans(self) -> Iterator[tuple[int, int]]:
        """Return the extra attempts and the requests of all spans until now.

        The first span has no length: it contains the attempts in flight. Each
        further span begins with the end of an attempt.
        """
        yield self.in_flight, 0
        for count, first in enumerate(
            reversed(self.ended), start=self.in_flight + 1
        ):
            yield count, self.requests - first.requests_before


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

    def record_request(self, service: str, unread_ms: float = 0) -> None:
        """Record the first attempt of a request to a service.

        A request that was read late belongs to an earlier window.

        Args:
            service: name of the service.
            unread_ms: time between the arrival of the request and now.
        """
        if unread_ms > _MAX_UNREAD_MS:
            return
        counts = self._recent_counts(service)
        now_ms = self._clock.now_ms()
        if not counts.tests.may_include(now_ms, self.policy.tests_per_s):
            counts.record_request(now_ms)

    def try_spend(self, service: str) -> bool:
        """Record an extra attempt if the budget of the service allows it.

        The attempt is in flight from now on. Its end is recorded by
        `record_end`, or by `give_back` if it was never written.

        Returns:
            Whether the extra attempt may be sent.
        """
        counts = self._recent_counts(service)
        fixed_part = self._compute_fixed_part()
        is_proven = fixed_part >= 1 and self._fleet_share.is_usable
        if not (is_proven or self._is_paid(counts, upcoming=1)):
            return False
        if fixed_part >= 1 and not self._is_within(fixed_part, counts.spans()):
            return False
        counts.in_flight += 1
        return True

    def may_write(self, service: str) -> bool:
        """Whether an extra attempt in flight may still be written.

        The share of this daemon may have become unusable since the decision.
        """
        if self._compute_fixed_part() >= 1 and self._fleet_share.is_usable:
            return True
        return self._is_paid(self._recent_counts(service), upcoming=0)

    def record_end(self, service: str) -> None:
        """Record that an extra attempt has ended and cannot arrive any more."""
        counts = self._recent_counts(service)
        counts.in_flight -= 1
        counts.record_end(self._clock.now_ms())

    def record_misdirected(self, service: str) -> None:
        """Record an arrival at a service that nothing was spent for.

        The request was meant for a server whose address a server of the service
        has now. It leaves less for the attempts of this daemon.
        """
        self._recent_counts(service).record_end(self._clock.now_ms())

    def give_back(self, service: str) -> None:
        """Record that an extra attempt has ended without being written."""
        self._recent_counts(service).in_flight -= 1

    def _compute_fixed_part(self) -> float:
        """Return the part of this daemon in the fixed number, usable or not."""
        share = self._fleet_share.nominal_share
        return _MARGIN * share * self.policy.fixed

    def _is_paid(self, counts: _ServiceCounts, upcoming: int) -> bool:
        """Whether the recent requests pay for all recent extra attempts.

        Args:
            counts: recent requests and extra attempts.
            upcoming: number of further extra attempts.
        """
        attempts = counts.extra_attempts + upcoming
        return attempts <= self.policy.ratio * len(counts.requests_ms)

    def _is_within(
        self, fixed_part: float, spans: Iterable[tuple[int, int]]
    ) -> bool:
        """Whether one more extra attempt keeps to the limit in each time span.

        Args:
            fixed_part: part of this daemon in the fixed number.
            spans: extra attempts and requests of each span, the shortest span
                first.
        """
        return all(
            attempts + 1 <= self.policy.ratio * requests + fixed_part
            for attempts, requests in spans
        )

    def _recent_counts(self, service: str) -> _ServiceCounts:
        """Return the counts of a service within the window."""
        counts = self._counts.setdefault(service, _ServiceCounts())
        counts.discard_before(self._clock.now_ms() - self.policy.window_ms)
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
