"""Log of decisions with a rate limit for each event."""

from typing import Any, ClassVar, Final, Protocol

import attrs

from fennelfork import Clock
from fennelfork.config import TokenBucket, token_bucket
from fennelfork_daemon.logs._logs import structlog

# Rate limit on the log lines of each event.
_LINES_PER_SECOND: Final = 10
_BURST_LINES: Final = 50
_LINES_DROPPED: Final = 'lines_dropped'


class Decision(Protocol):
    """attrs class whose fields are the values of a log line."""

    event: ClassVar[str]


class CountDecision(Protocol):
    """Function that counts decisions by event."""

    def __call__(self, event: str, *, logged: bool, times: int) -> None:
        """Count decisions whose lines were written or suppressed."""


class LogOutput(Protocol):
    """Output of log lines.

    Attributes:
        dropped: number of lines that were dropped since the start of the
            process.
    """

    dropped: int


@attrs.define(kw_only=True)
class DecisionLog:
    """Log of one line per decision, with a rate limit for each event."""

    _logger: Any
    _clock: Clock
    _count: CountDecision
    _output: LogOutput
    _reported_drops: int = 0
    _rate_limits: dict[str, TokenBucket] = attrs.field(factory=dict)
    _suppressed: dict[str, int] = attrs.field(factory=dict)

    def log_decision(self, decision: Decision) -> bool:
        """Write the log line of a decision, unless the rate is exceeded.

        Args:
            decision: decision with the values of the log line.

        Returns:
            True if the line was written, False if it was suppressed.
        """
        event = decision.event
        logged = self._rate_limit(event).try_acquire()
        self._count(event, logged=logged, times=1)
        if not logged:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return False
        facts = attrs.asdict(decision, recurse=False)
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            facts['dropped_before'] = suppressed
        dropped = self._output.dropped
        self._logger.info(event, **facts)
        if self._output.dropped == dropped:
            self._report_drops(dropped)
        return True

    def _rate_limit(self, event: str) -> TokenBucket:
        rate_limit = self._rate_limits.get(event)
        if rate_limit is None:
            rate_limit = token_bucket(
                self._clock, _LINES_PER_SECOND, _BURST_LINES
            )
            self._rate_limits[event] = rate_limit
        return rate_limit

    def _report_drops(self, dropped: int) -> None:
        """Log the number of lines that the output dropped."""
        lines = dropped - self._reported_drops
        if not lines:
            return
        self._reported_drops = dropped
        self._count(_LINES_DROPPED, logged=True, times=lines)
        self._logger.info(_LINES_DROPPED, lines=lines)


def decision_log(
    clock: Clock,
    count: CountDecision,
    output: LogOutput,
    **facts: Any,
) -> DecisionLog:
    """Build a log of decisions.

    Args:
        clock: clock of the rate limits.
        count: function that counts decisions by event.
        output: output of the log lines.
        facts: values that each line contains, such as the daemon name.
    """
    return DecisionLog(
        logger=structlog.get_logger(**facts),
        clock=clock,
        count=count,
        output=output,
    )
