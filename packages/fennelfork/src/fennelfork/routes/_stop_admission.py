"""Admission of requests to a daemon that stops."""

from typing import Final

from fennelfork._stop import StopTimes
from fennelfork.routes._latency_baseline import LatencyBaseline

# A request may be sent to another backend server after a failure.
_ATTEMPTS: Final = 2


def can_end_before_stop(
    baseline: LatencyBaseline, timeout_ms: float, times: StopTimes
) -> bool:
    """Whether a request ends before the daemon aborts the requests that run.

    Earlier responses do not bound the latency of the next one, so they count
    only in the first part of a stop.

    Args:
        baseline: latency baseline of the route.
        timeout_ms: time after which the request ends in any case.
        times: time that the daemon has left.
    """
    if timeout_ms <= times.abort_in_ms:
        return True
    if times.estimate_left_ms <= 0:
        return False
    return _ATTEMPTS * baseline.most_ms <= times.abort_in_ms
