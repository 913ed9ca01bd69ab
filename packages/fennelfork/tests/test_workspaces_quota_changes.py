"""Quota of a workspace while its limits change, several times in series.

Guards against changes that grant again what has been used: of the rate, of the
burst, of the owner, of the daemons and of the workspace itself.
"""

import pytest
from core_builders_quota import (
    POLICY,
    QuotaDaemon,
    QuotaFleet,
    running_fleet,
    workspace,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from fennelfork.workspaces import Workspace

_HOT = 60.0
_DAEMONS = 8
# A new owner has all permits after this time.
_SETTLED_MS = 20_000
_HIGH = workspace(rate=10, burst=100)
_LOW = workspace(rate=10, burst=10)
# Limits that differ in the rate, in the burst and in both directions at once.
_LIMITS = (
    _HIGH,
    _LOW,
    workspace(rate=2, burst=2),
    workspace(rate=40, burst=10),
    workspace(rate=40, burst=200),
)


def _hot_fleet(first: Workspace) -> QuotaFleet:
    """Return a fleet whose workspace has just used its burst."""
    fleet = running_fleet(_DAEMONS, first)
    fleet.play(_SETTLED_MS, 2, fleet.names)
    fleet.play(1500, _HOT, fleet.names)
    return fleet


def _apply(fleet: QuotaFleet, *limits: Workspace, ms: float = 1500) -> None:
    for one in limits:
        fleet.workspaces = {'hot': one}
        fleet.play(ms, 2 * _HOT, fleet.names)


def _has_used_allowance(daemon: QuotaDaemon) -> bool:
    free = daemon.quota._free
    return bool(free._uses.get('hot'))


class TestChangesInSeries:
    """Limits of a hot workspace that change and change back."""

    @pytest.mark.parametrize('times', [1, 4])
    def test_burst_is_not_granted_again_after_a_rollback(
        self, times: int
    ) -> None:
        """Guards against a burst that each fall and rise grants again."""
        fleet = _hot_fleet(_HIGH)
        _apply(fleet, *(_LOW, _HIGH) * times)
        fleet.play(POLICY.window_ms, _HOT, fleet.names)
        assert fleet.excess['hot'] <= 0

    @pytest.mark.parametrize('first', _LIMITS)
    @pytest.mark.parametrize('second', _LIMITS)
    def test_any_two_limits(self, first: Workspace, second: Workspace) -> None:
        """A rate that falls while the burst rises, and the reverse."""
        fleet = _hot_fleet(first)
        _apply(fleet, second, first, second, first)
        fleet.play(POLICY.window_ms, _HOT, fleet.names)
        assert fleet.excess['hot'] <= 0

    def test_workspace_taken_out_and_back(self) -> None:
        """A workspace that returns does not have its burst again."""
        fleet = _hot_fleet(_HIGH)
        for _ in range(3):
            fleet.workspaces = {}
            fleet.play(700, _HOT, fleet.names)
            _apply(fleet, _LOW, _HIGH, ms=700)
        fleet.play(POLICY.window_ms, _HOT, fleet.names)
        assert fleet.excess['hot'] <= 0

    def test_new_owner_before_a_rise(self) -> None:
        """A new owner whose first window contains a rise grants nothing."""
        fleet = _hot_fleet(_HIGH)
        owner = fleet.owner().local.name
        fleet.workspaces = {'hot': _LOW}
        fleet.kill(owner)
        fleet.store.pop(owner)
        fleet.play(500, _HOT, fleet.names)
        _apply(fleet, _HIGH)
        fleet.play(POLICY.window_ms, _HOT, fleet.names)
        assert fleet.excess['hot'] <= 0

    def test_raised_limit_is_used(self) -> None:
        """A burst that has not been used is granted at once after a rise."""
        fleet = running_fleet(_DAEMONS, _LOW)
        fleet.play(_SETTLED_MS, 2, fleet.names)
        fleet.workspaces = {'hot': _HIGH}
        fleet.advance(700)
        admitted, _refused = fleet.play(1000, 110, fleet.names)
        assert admitted >= 90
        assert fleet.excess['hot'] <= 0


class TestLeavingDaemons:
    """Free allowances of a fleet whose daemons leave one after the other."""

    def test_leaving_daemon_hands_no_used_allowance_on(self) -> None:
        """Guards against allowances that pass to the next daemon when used."""
        small = workspace(rate=0.4, burst=1)
        fleet = QuotaFleet(count=77, capable=77, workspaces={'hot': small})
        fleet.advance(16_000)
        fleet.play(12_000, 100, fleet.names)
        for _ in range(14):
            used = filter(_has_used_allowance, fleet.daemons.values())
            leaving = next(used, fleet.daemons[fleet.names[0]]).local.name
            fleet.kill(leaving)
            fleet.store.pop(leaving, None)
            fleet.play(300, 400, fleet.names)
        assert fleet.excess['hot'] <= 0


class LimitMachine(RuleBasedStateMachine):
    """Any order of loads, limits, restarts, cuts and losses."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = running_fleet(_DAEMONS, _HIGH)
        self.settle()

    @rule()
    def settle(self) -> None:
        """Send few requests until an owner has all permits."""
        self.fleet.play(_SETTLED_MS, 2, self.fleet.names)

    @rule(
        ms=st.sampled_from([200, 700, 1500]),
        per_s=st.sampled_from([_HOT, 4 * _HOT]),
        count=st.integers(1, _DAEMONS),
    )
    def play(self, ms: int, per_s: float, count: int) -> None:
        """Send many requests to some daemons."""
        self.fleet.play(ms, per_s, self.fleet.names[:count])

    @rule(
        limits=st.sampled_from(_LIMITS),
        ms=st.sampled_from([200, 1000, 6000]),
    )
    def change_limits(self, limits: Workspace, ms: int) -> None:
        """Change the limits of the hot workspace, or put it back."""
        _apply(self.fleet, limits, ms=ms)

    @rule(
        limits=st.lists(st.sampled_from(_LIMITS), min_size=1, max_size=2),
        ms=st.sampled_from([400, 1000]),
        is_settled=st.booleans(),
    )
    def roll_back(
        self, limits: list[Workspace], ms: int, is_settled: bool
    ) -> None:
        """Change the limits of the hot workspace and take that back."""
        before = self.fleet.workspaces.get('hot', _HIGH)
        if is_settled:
            self.settle()
        _apply(self.fleet, before, *limits, before, ms=ms)

    @rule()
    def take_out(self) -> None:
        """Remove the workspace from the configuration."""
        self.fleet.workspaces = {}

    @rule()
    def remove_limit(self) -> None:
        """Take the limit away from the workspace."""
        self.fleet.workspaces = {'hot': workspace(rate=0, burst=0)}

    @rule(number=st.integers(0, _DAEMONS - 1), owner=st.booleans())
    def restart(self, number: int, owner: bool) -> None:
        """Start a daemon again, or the owner."""
        self.fleet.start(self._choose(number, owner=owner))

    @precondition(lambda machine: len(machine.fleet.daemons) > 2)
    @rule(number=st.integers(0, _DAEMONS - 1), owner=st.booleans())
    def kill(self, number: int, owner: bool) -> None:
        """End a daemon for good, which changes the shares of the others."""
        name = self._choose(number, owner=owner)
        if name in self.fleet.daemons:
            self.fleet.kill(name)

    @rule(number=st.integers(0, _DAEMONS - 1), store=st.booleans())
    def cut(self, number: int, store: bool) -> None:
        """Cut a daemon from the store, or connect it again."""
        names = self.fleet.names
        chosen = names[number % len(names)]
        self.fleet.daemons[chosen].sees_store = store

    @rule(loss=st.sampled_from([0, 0.3]))
    def lose(self, loss: float) -> None:
        """Change the part of messages that is lost."""
        self.fleet.loss = loss

    @invariant()
    def within_bound(self) -> None:
        """No window has more runs than the largest limit in force."""
        assert all(excess <= 0 for excess in self.fleet.excess.values())

    def _choose(self, number: int, *, owner: bool) -> str:
        if owner and any(
            daemon.members for daemon in self.fleet.daemons.values()
        ):
            views = [one for one in self.fleet.daemons.values() if one.members]
            found = views[0].quota._owners.owner_of('hot')
            return found.name if found else 'vm-0'
        return f'vm-{number}'


class TestLimitMachine(LimitMachine.TestCase):  # type: ignore[name-defined, misc]
    """The state machine as a test."""

    settings = settings(max_examples=60, stateful_step_count=25)
