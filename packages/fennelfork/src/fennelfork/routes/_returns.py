"""Times after which the callers of refused requests may return.

Callers that are told the same time return together and are refused together.
"""

import math
from typing import Final

import attrs

from fennelfork.shares import Rate, hash_fraction

# Callers wait for at most this share of the time that they have left.
_MAX_WAIT_FRACTION: Final = 1 / 3
# Callers that were refused within this time may still return.
_WINDOW_MS: Final = 1000.0


@attrs.define(kw_only=True)
class Returns:
    """Requests to one set of services that ended or were refused recently."""

    _ended: Rate
    _refused: Rate

    def record_end(self, now_ms: float) -> None:
        """Record the end of a request, which leaves room for another."""
        self._ended.record(now_ms, 1)

    def record_refusal(self, now_ms: float) -> None:
        """Record a request that was refused before its first attempt."""
        self._refused.record(now_ms, 1)

    def retry_after_ms(
        self, request_id: str, in_flight: int, left_ms: float, now_ms: float
    ) -> int:
        """Return the time after which a refused request may return.

        The requests that were refused recently are spread over the time in
        which those in flight and they themselves can be served.

        Args:
            request_id: id of the refused request.
            in_flight: number of requests in flight to the same services.
            left_ms: time until the deadline of the caller.
            now_ms: current time.
        """
        ended_per_ms = self._ended.per_ms(now_ms)
        if not ended_per_ms:
            return spread_return_ms(request_id, 0, math.inf, left_ms)
        waiting = in_flight + self._refused.per_ms(now_ms) * _WINDOW_MS
        return spread_return_ms(
            request_id, 1 / ended_per_ms, waiting / ended_per_ms, left_ms
        )


def returns(now_ms: float) -> Returns:
    """Create the record of services without requests.

    Args:
        now_ms: current time.
    """
    return Returns(
        ended=Rate(window_ms=_WINDOW_MS, since_ms=now_ms, at_ms=now_ms),
        refused=Rate(window_ms=_WINDOW_MS, since_ms=now_ms, at_ms=now_ms),
    )


def spread_return_ms(
    request_id: str, earliest_ms: float, latest_ms: float, left_ms: float
) -> int:
    """Return the time after which one of many refused requests may return.

    Args:
        request_id: id of the request, which selects its place between both.
        earliest_ms: time until there is room for the first request.
        latest_ms: time until there is room for the last request.
        left_ms: time until the deadline of the caller.

    Returns:
        A time between both, but at most the longest that a caller waits, in
        whole milliseconds.
    """
    longest_ms = left_ms * _MAX_WAIT_FRACTION
    first_ms = min(earliest_ms, longest_ms)
    width_ms = max(0, min(latest_ms, longest_ms) - first_ms)
    wait_ms = first_ms + hash_fraction(request_id) * width_ms
    return max(1, int(wait_ms))
