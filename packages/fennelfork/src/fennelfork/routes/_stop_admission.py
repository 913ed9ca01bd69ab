"""Admission of requests to a daemon that stops."""

from typing import Final

from fennelfork.routes._latency_baseline import LatencyBaseline

# A request may be sent to another backend server after a failure.
_ATTEMPTS: Final = 2


def can_end_before_stop(
    baseline: LatencyBaseline, timeout_ms: float, stop_in_ms: float
) -> bool:
    """Whether a request ends before the daemon aborts the requests that run.

    Args:
        baseline: latency baseline of the route.
        timeout_ms: time after which the request ends in any case.
        stop_in_ms: time until the daemon aborts requests; infinite while no
            stop is requested.
    """
    if timeout_ms <= stop_in_ms:
        return True
    return _ATTEMPTS * baseline.most_ms <= stop_in_ms
