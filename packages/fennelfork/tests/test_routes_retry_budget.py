"""Tests that daemons keep to a shared retry budget without coordination."""

from core_builders_routes import WINDOW_MS
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelfork import Clock, ManualTime, manual_clock
from fennelfork.routes import (
    FleetMaximum,
    RetryBudgets,
    RetryPolicy,
    retry_budgets,
)

_RATIO = 0.2
_FIXED = 58.0
_POLICY = RetryPolicy(ratio=_RATIO, fixed=_FIXED, window_ms=WINDOW_MS)
_DAEMONS = 4


class TestRetryBudgets:
    """Budgets of a single daemon."""

    def test_ratio(self) -> None:
        """The ratio limits the extra attempts of the first window."""
        time = ManualTime()
        budgets = _budgets(manual_clock(time), 1)
        for _ in range(10):
            budgets.record_request('archive')
        assert [budgets.try_spend('archive') for _ in range(3)] == [
            True,
            True,
            False,
        ]
        assert not budgets.try_spend('another')
        time.advance(WINDOW_MS + 1)
        # The fixed number applies after the first window, less a margin.
        taken = [budgets.try_spend('archive') for _ in range(60)]
        assert taken.count(True) == int(0.8 * _FIXED)

    def test_share_of_departed_daemon(self) -> None:
        """The share of a departed daemon is redistributed after one window."""
        time = ManualTime(at_ms=WINDOW_MS)
        fleet = FleetMaximum(clock=manual_clock(time), window_ms=WINDOW_MS)
        fleet.record(4)
        time.advance(1)
        fleet.record(2)
        assert fleet.maximum == 4
        time.advance(WINDOW_MS)
        assert fleet.maximum == 2


class SharedBudget(RuleBasedStateMachine):
    """Several daemons share one budget; some of them crash and restart."""

    def __init__(self) -> None:
        """Start all daemons with the same view of the fleet."""
        super().__init__()
        self.time = ManualTime()
        self.requests: list[float] = []
        self.extra_attempts: list[float] = []
        self.daemons = [
            _budgets(manual_clock(self.time), _DAEMONS) for _ in range(_DAEMONS)
        ]

    @rule(which=st.integers(0, _DAEMONS - 1), count=st.integers(1, 30))
    def request(self, which: int, count: int) -> None:
        """Send requests to one daemon."""
        for _ in range(count):
            self.daemons[which].record_request('archive')
            self.requests.append(self.time.at_ms)

    @rule(which=st.integers(0, _DAEMONS - 1), count=st.integers(1, 30))
    def spend(self, which: int, count: int) -> None:
        """Spend the budget of one daemon."""
        for _ in range(count):
            if self.daemons[which].try_spend('archive'):
                self.extra_attempts.append(self.time.at_ms)

    @rule(by_ms=st.floats(1, WINDOW_MS))
    def wait(self, by_ms: float) -> None:
        """Advance the clock."""
        self.time.advance(by_ms)

    @rule(which=st.integers(0, _DAEMONS - 1))
    def crash(self, which: int) -> None:
        """Restart a daemon without its previous state."""
        self.daemons[which] = _budgets(manual_clock(self.time), _DAEMONS)

    @invariant()
    def budget_is_respected(self) -> None:
        """The extra attempts of the last window are within the budget."""
        since_ms = self.time.at_ms - WINDOW_MS
        extra_attempts = sum(at_ms >= since_ms for at_ms in self.extra_attempts)
        # The requests of the current or an earlier window apply, whichever are
        # more.
        counted = [
            sum(begin <= at_ms <= begin + WINDOW_MS for at_ms in self.requests)
            for begin in (
                since_ms,
                since_ms - WINDOW_MS / 2,
                since_ms - WINDOW_MS,
            )
        ]
        assert extra_attempts <= _RATIO * max(counted) + _FIXED


TestSharedBudget = SharedBudget.TestCase


def _budgets(clock: Clock, daemons: int) -> RetryBudgets:
    fleet = FleetMaximum(clock=clock, window_ms=WINDOW_MS)
    fleet.record(daemons)
    return retry_budgets(_POLICY, clock, fleet)
