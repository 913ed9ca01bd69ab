"""A log of decisions whose volume is bounded."""

from typing import Any, ClassVar, Final, Protocol

import attrs

from fennelfork import Clock
from fennelfork.config import TokenBucket, token_bucket
from fennelfork_daemon.logs._logs import structlog

# Lines of one kind: 50 at once, then 10 a second. A busy daemon has some 60
# requests a second, of which a tenth or so is hedged, late or partial.
_PER_SECOND: Final = 10
_BURST: Final = 50
_LINES_DROPPED: Final = 'lines_dropped'


class Decision(Protocol):
    """An attrs class whose fields are the facts of one kind of line."""

    event: ClassVar[str]


class CountDecision(Protocol):
    """Counts decisions of one kind."""

    def __call__(self, event: str, *, logged: bool, times: int) -> None:
        """Count some of them, whose lines were written or not."""


class LogOutput(Protocol):
    """Where the lines go.

    Attributes:
        dropped: lines that found no room, since the start.
    """

    dropped: int


@attrs.define(kw_only=True)
class DecisionLog:
    """Writes one line a decision, up to a rate for each kind of decision."""

    _logger: Any
    _clock: Clock
    _count: CountDecision
    _output: LogOutput
    _told_dropped: int = 0
    _budgets: dict[str, TokenBucket] = attrs.field(factory=dict)
    _held_back: dict[str, int] = attrs.field(factory=dict)

    def tell(self, decision: Decision) -> bool:
        """Write a line, or count it as held back.

        Args:
            decision: what was decided, by which facts.

        Returns:
            Whether the line was written.
        """
        event = decision.event
        logged = self._budget(event).try_acquire()
        self._count(event, logged=logged, times=1)
        if not logged:
            self._held_back[event] = self._held_back.get(event, 0) + 1
            return False
        facts = attrs.asdict(decision, recurse=False)
        held_back = self._held_back.pop(event, 0)
        if held_back:
            facts['dropped_before'] = held_back
        dropped = self._output.dropped
        self._logger.info(event, **facts)
        if self._output.dropped == dropped:
            self._tell_dropped(dropped)
        return True

    def _budget(self, event: str) -> TokenBucket:
        budget = self._budgets.get(event)
        if budget is None:
            budget = token_bucket(self._clock, _PER_SECOND, _BURST)
            self._budgets[event] = budget
        return budget

    def _tell_dropped(self, dropped: int) -> None:
        """Say how many lines found no room, now that there is room again."""
        lines = dropped - self._told_dropped
        if not lines:
            return
        self._told_dropped = dropped
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
        clock: bounds the rate.
        count: told the kind of a decision, whether it was logged, and how
            many there are.
        output: where the lines go.
        facts: what stands in each line, such as the daemon's name.
    """
    return DecisionLog(
        logger=structlog.get_logger(**facts),
        clock=clock,
        count=count,
        output=output,
    )
