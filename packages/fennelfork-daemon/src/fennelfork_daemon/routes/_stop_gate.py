"""Admission of requests while the daemon stops."""

import math
from collections.abc import Callable

import attrs

from fennelfork import Failure, FailureCode, StopTimes, not_run
from fennelfork.routes import (
    LatencyBaseline,
    LatencyBaselines,
    RefusalReason,
    can_end_before_stop,
)
from fennelfork_daemon.routes._authorization import AuthorizedRequest
from fennelfork_daemon.routes._events_requests import RequestAdmittedInStop
from fennelfork_daemon.routes._request_reporter import RequestReporter


@attrs.frozen(kw_only=True)
class StopGate:
    """Refuses the requests that the stop of the daemon may abort."""

    _baselines: LatencyBaselines
    _reporter: RequestReporter
    _stop_times: Callable[[], StopTimes]

    def refuse(self, request: AuthorizedRequest) -> Failure | None:
        """Return a failure if the daemon may stop while the request runs.

        The caller can use another daemon at once.
        """
        times = self._stop_times()
        if times.abort_in_ms == math.inf:
            return None
        baseline = self._baselines.for_route(request.route)
        timeout_ms = min(request.route.timeout_ms, request.left_ms)
        if can_end_before_stop(baseline, timeout_ms, times):
            self._reporter.log_admission_in_stop(
                RequestAdmittedInStop(
                    request=request.caller_request.request_id,
                    route=request.route.name,
                    abort_in_ms=round(times.abort_in_ms),
                    timeout_ms=round(timeout_ms),
                    most_ms=_known_latency_ms(baseline),
                )
            )
            return None
        self._reporter.count_overload_refusal(request.route, RefusalReason.STOP)
        return not_run(
            FailureCode.DRAINING,
            f'the daemon stops in {times.abort_in_ms:.0f} ms, and the request may '
            f'take up to {timeout_ms:.0f} ms',
            retry_after_ms=0,
        )


def _known_latency_ms(baseline: LatencyBaseline) -> int | None:
    """Return the latency that hardly any response is above, if known."""
    most_ms = baseline.most_ms
    return None if most_ms == math.inf else round(most_ms)
