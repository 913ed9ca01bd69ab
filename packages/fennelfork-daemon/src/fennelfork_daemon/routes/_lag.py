"""Detection of scheduling lag of this process."""

import functools
from collections.abc import Callable
from typing import Final

import attrs
import eventlet

from fennelfork import Clock
from fennelfork.routes import AnswerDelays, ConcurrencyLimits
from fennelfork_daemon.routes._request_reporter import RequestReporter

_MS_PER_SECOND: Final = 1000
_INTERVAL_MS: Final = 50.0
# A request is delayed by the lag at each step that waits for the event loop,
# about ten times.
_LAG_THRESHOLD_MS: Final = 40.0


@attrs.frozen(kw_only=True)
class LagMonitor:
    """Periodic timer that reports a late wake-up as scheduling lag."""

    _clock: Clock
    _report_lag: Callable[[float], None]
    _answer_delays: AnswerDelays = attrs.field(factory=AnswerDelays)

    def run(self) -> None:
        """Run the timer until the process ends."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            started_ms = self._clock.now_ms()
            eventlet.sleep(_INTERVAL_MS / _MS_PER_SECOND)
            late_ms = self._clock.now_ms() - started_ms - _INTERVAL_MS
            self._answer_delays.record_lag(late_ms)
            if late_ms > _LAG_THRESHOLD_MS:
                self._report_lag(late_ms)


def lag_monitor(
    clock: Clock,
    limits: ConcurrencyLimits,
    reporter: RequestReporter,
    answer_delays: AnswerDelays,
) -> LagMonitor:
    """Build the monitor that treats scheduling lag as overload."""
    report_lag = functools.partial(_record_overload, limits, reporter)
    return LagMonitor(
        clock=clock, report_lag=report_lag, answer_delays=answer_delays
    )


def _record_overload(
    limits: ConcurrencyLimits,
    reporter: RequestReporter,
    late_ms: float,
) -> None:
    limits.record_lag()
    reporter.log_lag(late_ms)
