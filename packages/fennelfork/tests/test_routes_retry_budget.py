"""Tests that daemons keep to a shared retry budget without coordination."""

from core_builders_budget import (
    POLICY,
    SERVICE,
    BudgetDaemon,
    BudgetFleet,
    running_fleet,
)
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelfork.routes import RetryPolicy

_DAEMONS = 4
# Few attempts beyond the ratio, so that the ratio matters.
_SMALL_POLICY = RetryPolicy(ratio=0.2, fixed=58, window_ms=10_000)


class TestRetryBudgets:
    """Budgets of a single daemon."""

    def test_ratio(self) -> None:
        """The ratio limits the extra attempts of the first window."""
        fleet = BudgetFleet(count=1)
        fleet.request('vm-0', 10)
        taken = [_daemon(fleet).budgets.try_spend(SERVICE) for _ in range(3)]
        assert taken == [True, True, False]
        assert not _daemon(fleet).budgets.try_spend('another')

    def test_fixed_number(self) -> None:
        """A daemon alone may use the fixed number, less a margin."""
        fleet = running_fleet(1)
        fleet.spend('vm-0')
        assert len(fleet.arrivals) == int(0.9 * POLICY.fixed)

    def test_restart(self) -> None:
        """A new process waits, as the earlier one may have used the share."""
        fleet = running_fleet(1)
        fleet.spend('vm-0')
        fleet.restart(['vm-0'])
        fleet.spend_all(POLICY.window_ms)
        assert len(fleet.arrivals) == int(0.9 * POLICY.fixed)


class SharedBudget(RuleBasedStateMachine):
    """Several daemons share one budget; some of them crash and restart."""

    def __init__(self) -> None:
        """Start all daemons with the same view of the fleet."""
        super().__init__()
        self.fleet = running_fleet(_DAEMONS, retry_policy=_SMALL_POLICY)

    @rule(which=st.integers(0, _DAEMONS - 1), count=st.integers(1, 30))
    def request(self, which: int, count: int) -> None:
        """Send requests to one daemon."""
        self.fleet.request(f'vm-{which}', count)

    @rule(which=st.integers(0, _DAEMONS - 1), count=st.integers(1, 30))
    def spend(self, which: int, count: int) -> None:
        """Spend some of the budget of one daemon."""
        self.fleet.spend(f'vm-{which}', count)

    @rule(by_ms=st.floats(1, POLICY.window_ms))
    def wait(self, by_ms: float) -> None:
        """Advance the clock."""
        self.fleet.advance(by_ms)

    @rule(which=st.integers(0, _DAEMONS - 1))
    def crash(self, which: int) -> None:
        """Restart a daemon without its previous state."""
        self.fleet.restart([f'vm-{which}'])

    @invariant()
    def budget_is_respected(self) -> None:
        """The extra attempts of each window are within the budget."""
        assert self.fleet.worst_excess() <= 0


TestSharedBudget = SharedBudget.TestCase


def _daemon(fleet: BudgetFleet) -> BudgetDaemon:
    return fleet.daemons['vm-0']
