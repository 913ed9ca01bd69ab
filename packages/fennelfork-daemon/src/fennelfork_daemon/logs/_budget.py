"""A log of decisions whose volume is bounded."""

from collections.abc import Callable
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork.config import CallBudget, call_budget
from fennelfork_daemon.logs._logs import structlog

# Lines of one kind: 50 at once, then 10 a second. A busy daemon has some 60
# requests a second, of which a tenth or so is hedged, late or partial.
_PER_SECOND: Final = 10
_BURST: Final = 50


@attrs.define(kw_only=True)
class DecisionLog:
    """Writes one line a decision, up to a rate for each kind of decision."""

    _logger: Any
    _clock: Clock
    _count: Callable[[str, bool], None]
    _budgets: dict[str, CallBudget] = attrs.field(factory=dict)
    _dropped: dict[str, int] = attrs.field(factory=dict)

    def tell(self, event: str, **facts: Any) -> bool:
        """Write a line, or count it as dropped.

        Args:
            event: the kind of the decision.
            facts: what decided it, and what came of it.

        Returns:
            Whether the line was written.
        """
        budget = self._budgets.get(event)
        if budget is None:
            budget = call_budget(self._clock, _PER_SECOND, _BURST)
            self._budgets[event] = budget
        logged = budget.take()
        self._count(event, logged)
        if not logged:
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return False
        dropped = self._dropped.pop(event, 0)
        if dropped:
            facts['dropped_before'] = dropped
        self._logger.info(event, **facts)
        return True


def decision_log(
    clock: Clock,
    count: Callable[[str, bool], None],
    **facts: Any,
) -> DecisionLog:
    """Build a log of decisions.

    Args:
        clock: bounds the rate.
        count: told the kind of each decision, and whether it was logged.
        facts: what stands in each line, such as the daemon's name.
    """
    return DecisionLog(
        logger=structlog.get_logger(**facts),
        clock=clock,
        count=count,
    )
