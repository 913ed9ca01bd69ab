"""Retry budgets: limits on the extra attempts of this daemon per service.

Within any time window, all daemons together may send a service extra attempts
for a ratio of its requests, plus a fixed number. Each daemon applies the ratio
to its own requests and uses its share of the fixed number, so the limit holds
for the fleet.
"""

from collections import deque
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.membership import FleetShare

# Fraction of the fixed number that is used; the rest covers attempts that
# arrive later than they were counted.
_MARGIN: Final = 0.9


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


@attrs.define(kw_only=True)
class _SlidingWindow:
    """Times of the recent requests and extra attempts of one service."""

    requests: deque[float] = attrs.field(factory=deque)
    extra_attempts: deque[float] = attrs.field(factory=deque)

    def discard_before(self, before_ms: float) -> None:
        """Remove all entries that are older than a point in time."""
        for sent in (self.requests, self.extra_attempts):
            while sent and sent[0] < before_ms:
                sent.popleft()


@attrs.define(kw_only=True)
class RetryBudgets:
    """Counts the requests and extra attempts of each service.

    Attributes:
        policy: limit on the extra attempts of all daemons together.
    """

    policy: RetryPolicy
    _clock: Clock
    _fleet_share: FleetShare
    _windows: dict[str, _SlidingWindow] = attrs.field(factory=dict)

    def record_request(self, service: str) -> None:
        """Record the first attempt of a request to a service."""
        self._get_window(service).requests.append(self._clock.now_ms())

    def try_spend(self, service: str) -> bool:
        """Record an extra attempt if the budget of the service allows it.

        Returns:
            Whether the extra attempt may be sent.
        """
        window = self._get_window(service)
        if len(window.extra_attempts) + 1 > self._compute_limit(window):
            return False
        window.extra_attempts.append(self._clock.now_ms())
        return True

    def _compute_limit(self, window: _SlidingWindow) -> float:
        fixed_part = _MARGIN * self._fleet_share.share * self.policy.fixed
        return self.policy.ratio * len(window.requests) + fixed_part

    def _get_window(self, service: str) -> _SlidingWindow:
        window = self._windows.setdefault(service, _SlidingWindow())
        window.discard_before(self._clock.now_ms() - self.policy.window_ms)
        return window


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
