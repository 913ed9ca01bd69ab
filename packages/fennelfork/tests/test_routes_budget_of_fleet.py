"""Bound on the extra attempts of a whole fleet whose daemons see it differently.

Guards against shares of the retry budget that add up to more than the budget.
"""

import itertools

import attrs
import pytest
from core_builders_budget import (
    MAX_AGE_MS,
    POLICY,
    SERVICE,
    STEP_MS,
    BudgetFleet,
    running_fleet,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

_COUNT = 117
_FEW = 9
_FEW_CAPABLE = 6
_PER_S = 400
_LONG_MS = 40_000.0
_LATE_MS = 2500.0


class TestPlatformTests:
    """The platform tests the configuration of each daemon by requests.

    Guards against extra attempts that are paid by requests of no caller: the
    limit counts only requests of callers, and the tests grow with the fleet.
    """

    @pytest.mark.parametrize(
        ('count', 'fixed', 'per_s'),
        [(195, 430, 25), (195, 430, 12), (117, 298, 12), (9, 58, 30)],
    )
    def test_tests_pay_for_nothing(
        self, count: int, fixed: float, per_s: float
    ) -> None:
        """A fleet that sends all it may keeps to the requests of callers."""
        policy = attrs.evolve(POLICY, fixed=fixed, tests_per_s=1)
        fleet = running_fleet(count, retry_policy=policy)
        fleet.play_with_tests(_LONG_MS, per_s, tests_per_s=0.8)
        assert fleet.worst_excess() <= 0


class TestTurnedAway:
    """The store turns a part of the fleet away for long."""

    @pytest.mark.parametrize('ratio', [0.25, 0.35, 0.45, 0.9])
    def test_shares_of_both_parts(self, ratio: float) -> None:
        """Both parts together stay within the budget, also on the return."""
        fleet = running_fleet(_COUNT)
        away = fleet.part(ratio)
        fleet.turn_away(away)
        fleet.spend_all(_LONG_MS)
        fleet.take_back(away)
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    def test_relayed_views(self) -> None:
        """Daemons that are turned away hear of the others all the while."""
        fleet = running_fleet(_COUNT)
        fleet.turn_away(fleet.part(0.45), is_relayed=True)
        fleet.spend_all(_LONG_MS)
        fleet.blind(fleet.part(0.3))
        fleet.take_back(fleet.names)
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    def test_in_series(self) -> None:
        """Other daemons are turned away before the first are back."""
        fleet = running_fleet(_COUNT)
        for _ in range(4):
            away = fleet.part(0.35)
            fleet.turn_away(away)
            fleet.spend_all(POLICY.window_ms * 1.5)
            fleet.turn_away(fleet.part(0.35))
            fleet.take_back(away)
            fleet.spend_all(POLICY.window_ms / 2)
        assert fleet.worst_excess() <= 0


class TestStarts:
    """Daemons start while the store does not show the whole fleet."""

    def test_most_leases_have_lapsed(self) -> None:
        """Daemons that read few entries at first take no larger share."""
        fleet = running_fleet(_COUNT)
        fleet.store_up = False
        fleet.advance(4000)
        fleet.store.clear()
        fleet.restart(fleet.part(0.5))
        for name in fleet.names[4:]:
            fleet.daemons[name].sees_store = False
        fleet.store_up = True
        fleet.advance(POLICY.window_ms)
        fleet.take_back(fleet.names)
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    def test_turned_away_fleet_is_unknown(self) -> None:
        """Daemons that start do not know those that are turned away."""
        fleet = running_fleet(_COUNT)
        fleet.spend_all(POLICY.window_ms)
        away = fleet.part(0.5)
        fleet.turn_away(away)
        fleet.restart([name for name in fleet.names if name not in away])
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    def test_joins(self) -> None:
        """A fleet that doubles in size at once stays within the budget."""
        fleet = running_fleet(_COUNT)
        fleet.spend_all(POLICY.window_ms)
        fleet.turn_away(fleet.part(0.3))
        for number in range(_COUNT, 2 * _COUNT):
            fleet.start(f'vm-{number}')
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    def test_share_is_used_after_the_start(self) -> None:
        """A fleet that has settled may spend most of the fixed number."""
        fleet = running_fleet(_COUNT)
        fleet.spend_all(POLICY.window_ms)
        assert len(fleet.arrivals) >= 0.5 * POLICY.fixed


class TestLosses:
    """Daemons end for good, the most capable ones first."""

    def test_capable_daemons_are_lost(self) -> None:
        """The others take over the shares only when these are unused."""
        fleet = running_fleet(_COUNT)
        fleet.spend_all(POLICY.window_ms / 4)
        fleet.turn_away(fleet.names[:3])
        fleet.kill(fleet.names[3:6])
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0
        # Those that are left may spend most of the fixed number again.
        fleet.arrivals.clear()
        fleet.spend_all(POLICY.window_ms)
        assert len(fleet.arrivals) >= 0.4 * POLICY.fixed


class TestLoad:
    """Requests move between daemons, and their number changes."""

    @pytest.mark.parametrize('late_ms', [0, 900])
    def test_requests_move(self, late_ms: float) -> None:
        """Two halves of the fleet do not both pay with their own windows."""
        fleet = running_fleet(_COUNT)
        fleet.delay_ms = late_ms
        names = fleet.part(1)
        for half in (names[: _COUNT // 2], names[_COUNT // 2 :]) * 2:
            fleet.play(POLICY.window_ms, 200, half, spends_ms=1000)
        assert fleet.worst_excess() <= 0

    def test_requests_move_after_a_start(self) -> None:
        """Nor do daemons that have no share yet."""
        fleet = running_fleet(_COUNT)
        names = fleet.part(1)
        fleet.spend_all(500)
        fleet.restart(names[: _COUNT // 2])
        for half in (names[: _COUNT // 2], names[_COUNT // 2 :]) * 2:
            fleet.play(POLICY.window_ms / 2, 200, half, spends_ms=1000)
        assert fleet.worst_excess() <= 0

    @pytest.mark.parametrize('ratio', [0.25, 0.45, 0.7])
    def test_requests_at_both_parts(self, ratio: float) -> None:
        """Daemons that are turned away retry, and all stay in the budget."""
        fleet = running_fleet(_COUNT)
        away = fleet.part(ratio)
        fleet.turn_away(away)
        names = fleet.part(1)
        fleet.play(_LONG_MS, 100, names, spends_ms=_LONG_MS)
        assert fleet.worst_excess() <= 0
        fleet.arrivals.clear()
        fleet.play(POLICY.window_ms, 100, away, spends_ms=POLICY.window_ms)
        assert len(fleet.arrivals) >= 0.5 * POLICY.ratio * 1000

    def test_burst_ends(self) -> None:
        """Requests of a burst do not pay for what is sent after it."""
        fleet = running_fleet(_COUNT)
        names = fleet.names
        fleet.play(POLICY.window_ms / 2, 50, names, spends_ms=0)
        fleet.play(POLICY.window_ms / 2, 800, names[::2], spends_ms=0)
        fleet.play(POLICY.window_ms, 10, names[1::2], spends_ms=9000)
        fleet.spend_all(POLICY.window_ms)
        assert fleet.worst_excess() <= 0

    def test_ratio_is_used(self) -> None:
        """Under a steady load the ratio can be spent nearly whole."""
        fleet = running_fleet(_FEW)
        fleet.play(
            2 * POLICY.window_ms, 100, fleet.names, spends_ms=POLICY.window_ms
        )
        assert len(fleet.arrivals) >= POLICY.ratio * 1000 + 0.7 * POLICY.fixed

    def test_ratio_is_used_after_a_start(self) -> None:
        """A daemon without a share may still retry some of its requests."""
        fleet = BudgetFleet(count=_FEW)
        fleet.play(POLICY.window_ms, 100, fleet.names, spends_ms=8000)
        assert len(fleet.arrivals) >= 0.8 * POLICY.ratio * 800


def _spend_late_then_on_time(fleet: BudgetFleet, late_ms: float) -> None:
    """Spend all on late event loops, and all again after each window.

    The loops are late while the first attempts are decided, and on time from
    then on.
    """
    fleet.make_late(fleet.names, late_ms)
    fleet.spend_all(500)
    fleet.make_late(fleet.names, 0)
    fleet.advance(late_ms)
    fleet.spend_all(_LONG_MS)


class TestLateDaemons:
    """Late event loops write what the budget has counted and forgotten."""

    @pytest.mark.parametrize('delay_ms', [0, 3000, 9000])
    def test_late_arrivals(self, delay_ms: float) -> None:
        """Attempts that are held back on the way count until they arrive."""
        fleet = running_fleet(_COUNT)
        fleet.delay_ms = delay_ms
        fleet.spend_all(500)
        fleet.delay_ms = 0
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    @pytest.mark.parametrize('late_ms', [1500, _LATE_MS])
    def test_on_time_a_window_later(self, late_ms: float) -> None:
        """Two spendings of all daemons do not arrive within one window."""
        fleet = running_fleet(_COUNT)
        _spend_late_then_on_time(fleet, late_ms)
        assert fleet.worst_excess() <= 0

    @pytest.mark.parametrize('ratio', [0.5, 0.9])
    def test_part_is_late(self, ratio: float) -> None:
        """Nor do they while a part of the daemons is late for long."""
        fleet = running_fleet(_COUNT)
        names = fleet.part(ratio)
        for late_ms in (_LATE_MS, 0, _LATE_MS, 0):
            fleet.make_late(names, late_ms)
            fleet.spend_all(POLICY.window_ms)
        assert fleet.worst_excess() <= 0

    def test_requests_pay_once(self) -> None:
        """Requests of one window do not pay for arrivals of two."""
        fleet = running_fleet(_COUNT)
        names = fleet.names
        for late_ms in (_LATE_MS, 0):
            fleet.make_late(names, late_ms)
            fleet.play(POLICY.window_ms, 100, names, spends_ms=2000)
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    def test_lateness_varies(self) -> None:
        """Each daemon is late by another time, which changes."""
        fleet = running_fleet(_COUNT)
        for late_ms in (_LATE_MS, 0, 2000, 0, 1500, 0):
            for ratio in (0.3, 0.6, 1):
                fleet.make_late(fleet.part(ratio), ratio * late_ms)
            fleet.play(POLICY.window_ms, 50, fleet.names, spends_ms=3000)
        assert fleet.worst_excess() <= 0

    def test_late_attempts_are_still_sent(self) -> None:
        """Late daemons may use the budget too, as far as callers wait."""
        fleet = running_fleet(_COUNT)
        fleet.make_late(fleet.names, 750)
        fleet.spend_all(POLICY.window_ms)
        assert len(fleet.arrivals) >= 0.5 * POLICY.fixed


class TestBeyondTheWindow:
    """What lies further apart than a window comes together at the servers."""

    def test_fleet_grows(self) -> None:
        """Shares that are used over a window apart are spent in one window.

        Daemons that are few have large shares. They write late, when the
        others that have joined meanwhile use shares of their own.
        """
        fleet = running_fleet(_COUNT)
        few, others = fleet.names[:_FEW_CAPABLE], fleet.names[_FEW_CAPABLE:]
        fleet.kill(others)
        fleet.advance(_LONG_MS + MAX_AGE_MS)
        for name in others:
            fleet.start(name)
        fleet.advance(1750)
        fleet.make_late(few, 4000)
        for name in few:
            fleet.spend(name)
        fleet.make_late(few, 0)
        fleet.advance(4000)
        fleet.spend_all(_LONG_MS)
        assert fleet.worst_excess() <= 0

    def test_requests_are_read_late(self) -> None:
        """Requests pay in the window in which their callers sent them.

        A request that waits to be read is one of an earlier window.
        """
        fleet = running_fleet(_FEW)
        fleet.play(2 * POLICY.window_ms, _PER_S, fleet.names, spends_ms=0)
        waiting = round(_PER_S * _LATE_MS / 1000)
        for _ in range(round(_LATE_MS / STEP_MS)):
            fleet.step()
            sent = round(_PER_S * STEP_MS / 1000)
            fleet.requests.extend(itertools.repeat(fleet.time.at_ms, sent))
        for name in fleet.names:
            fleet.spend(name, most=round(POLICY.ratio * waiting / _FEW))
        for number in range(waiting):
            reader = fleet.daemons[fleet.names[number % _FEW]]
            unread_ms = _LATE_MS * (1 - number / waiting)
            reader.budgets.record_request(SERVICE, unread_ms)
        rest_ms = POLICY.window_ms - STEP_MS
        fleet.play(rest_ms, _PER_S, fleet.names, spends_ms=rest_ms)
        assert fleet.worst_excess() <= 0


class SharedBudget(RuleBasedStateMachine):
    """Faults of the store and of the daemons in any order."""

    def __init__(self) -> None:
        """Start from a fleet that has settled."""
        super().__init__()
        self.fleet = running_fleet(_FEW)

    @rule(ms=st.sampled_from([500, 3000, MAX_AGE_MS, POLICY.window_ms, 17_000]))
    def wait(self, ms: float) -> None:
        """Let time pass while nothing is sent."""
        self.fleet.advance(ms)

    @rule(
        ms=st.sampled_from([250, 3000, POLICY.window_ms]),
        requests=st.integers(0, 20),
        number=st.integers(0, _FEW - 1),
    )
    def spend(self, ms: float, requests: int, number: int) -> None:
        """All daemons send as much as they may, one also has requests."""
        self.fleet.request(f'vm-{number}', requests)
        self.fleet.spend_all(ms)

    @rule(numbers=st.sets(st.integers(0, _FEW - 1), min_size=1))
    def turn_away(self, numbers: set[int]) -> None:
        """The store turns some daemons away."""
        self.fleet.turn_away([f'vm-{number}' for number in sorted(numbers)])

    @rule()
    def take_back(self) -> None:
        """The store serves all daemons."""
        self.fleet.take_back(self.fleet.names)

    @rule(numbers=st.sets(st.integers(0, _FEW - 1), min_size=1))
    def restart(self, numbers: set[int]) -> None:
        """Some daemons start again as new processes."""
        self.fleet.restart([f'vm-{number}' for number in sorted(numbers)])

    @rule(lapse=st.booleans())
    def stop_store(self, lapse: bool) -> None:
        """The store is down; leases pause or run out."""
        self.fleet.store_up = False
        if lapse:
            self.fleet.store.clear()

    @rule()
    def start_store(self) -> None:
        """The store is up again."""
        self.fleet.store_up = True

    @rule(
        numbers=st.sets(st.integers(0, _FEW - 1), min_size=1),
        late_ms=st.sampled_from([0, 750, 1500, _LATE_MS]),
    )
    def make_late(self, numbers: set[int], late_ms: float) -> None:
        """The event loops of some daemons are late from now on."""
        names = [f'vm-{number}' for number in sorted(numbers)]
        self.fleet.make_late(names, late_ms)

    @invariant()
    def budget_is_respected(self) -> None:
        """No window has more extra attempts than the bound."""
        assert self.fleet.worst_excess() <= 0


SharedBudget.TestCase.settings = settings(stateful_step_count=25, deadline=None)
TestSharedBudget = SharedBudget.TestCase


def test_registrations() -> None:
    """The builder registers every daemon."""
    fleet: BudgetFleet = running_fleet(_FEW)
    assert len(fleet.store) == _FEW
