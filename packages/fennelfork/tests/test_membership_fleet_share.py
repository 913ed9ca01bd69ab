"""Shares of a fleet whose daemons see the store late, differently or not at all.

Guards against daemons whose shares of one limit add up to more than the limit.
"""

import attrs
import pytest
from core_builders_budget import BudgetFleet, FakeLease
from core_builders_routes import daemon_member
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from fennelfork import ManualTime, manual_clock
from fennelfork.membership import FleetShare, SharePolicy

_FEW = 6
_START_MS = 45_000.0
_ROUNDING = 1e-9
_POLICIES = (
    SharePolicy(window_ms=10_000, max_age_ms=5000),
    SharePolicy(window_ms=1000, max_age_ms=5000),
    SharePolicy(window_ms=5000, max_age_ms=10_000),
)


def _share(time: ManualTime, lease: FakeLease, cores: float = 1) -> FleetShare:
    return FleetShare(
        policy=_POLICIES[0],
        clock=manual_clock(time),
        local=attrs.evolve(daemon_member('vm-0'), processor_cores=cores),
        lease=lease,
    )


class TestFleetShare:
    """Conditions under which a daemon uses its share."""

    def setup_method(self) -> None:
        """Register a daemon beside another one of the same capacity."""
        self.time = ManualTime(at_ms=1)
        self.lease = FakeLease(since_ms=1, confirmed_ms=1)
        self.share = _share(self.time, self.lease)
        self.members = [
            attrs.evolve(daemon_member(name), processor_cores=1)
            for name in ('vm-0', 'vm-1')
        ]
        self.share.record_view(self.members)

    def follow(self, ms: float) -> None:
        """Follow the store and renew the lease each second."""
        for _ in range(round(ms / 1000)):
            self.time.advance(1000)
            self.lease.confirmed_ms = self.time.at_ms
            self.share.record_view(self.members)

    def test_waits_after_the_start(self) -> None:
        """A process that has started has no share for 15 s."""
        self.follow(14_000)
        assert self.share.share == 0
        self.follow(1000)
        assert self.share.share == pytest.approx(0.5)

    def test_departed_daemon_counts(self) -> None:
        """The share of a daemon that has left is unused for 30 s."""
        self.follow(15_000)
        self.members.pop()
        self.follow(30_000)
        assert self.share.share == pytest.approx(0.5)
        self.follow(2000)
        assert self.share.share == pytest.approx(1)

    def test_old_view(self) -> None:
        """A daemon that the store does not serve loses its share."""
        self.follow(15_000)
        self.time.advance(5001)
        self.lease.confirmed_ms = self.time.at_ms
        assert self.share.share == 0

    def test_unconfirmed_lease(self) -> None:
        """So does one that hears of changes from other daemons only."""
        self.follow(15_000)
        self.time.advance(5001)
        self.share.record_view(self.members)
        assert self.share.share == 0

    def test_new_lease(self) -> None:
        """A new registration has no share for 15 s."""
        self.follow(15_000)
        self.lease.since_ms = self.time.at_ms
        self.follow(14_000)
        assert self.share.share == 0
        self.follow(1000)
        assert self.share.share > 0

    def test_gap(self) -> None:
        """After a long gap, daemons may have come and gone unseen."""
        self.follow(15_000)
        self.time.advance(10_001)
        self.follow(14_000)
        assert self.share.share == 0
        self.follow(2000)
        assert self.share.share > 0

    def test_first_listing_may_be_stale(self) -> None:
        """A view of unknown age does not begin the wait."""
        share = _share(self.time, self.lease)
        self.lease.since_ms = -20_000
        share.record_view(self.members, float('inf'))
        self.time.advance(14_000)
        share.record_view(self.members)
        self.time.advance(4000)
        share.record_view(self.members)
        self.lease.confirmed_ms = self.time.at_ms
        assert share.share == 0

    def test_capacities(self) -> None:
        """A daemon of twice the capacity has twice the share."""
        self.members[1] = attrs.evolve(self.members[1], processor_cores=2)
        self.follow(16_000)
        assert self.share.share == pytest.approx(1 / 3)

    def test_units(self) -> None:
        """Whole units are dealt in turn, the most capable daemons first."""
        self.members[1] = attrs.evolve(self.members[1], processor_cores=2)
        self.follow(16_000)
        units = [self.share.units_of(total, 'key') for total in range(6)]
        assert units == [0, 0, 1, 1, 2, 2]


class SharesMachine(RuleBasedStateMachine):
    """Faults of the store and of the daemons in any order."""

    fleet: BudgetFleet

    @initialize(policy=st.sampled_from(_POLICIES), seed=st.integers(0, 50))
    def begin(self, policy: SharePolicy, seed: int) -> None:
        """Start from a fleet that has settled."""
        self.fleet = BudgetFleet(count=_FEW, seed=seed, share_policy=policy)
        self.fleet.advance(_START_MS)
        self.fleet.used.clear()

    @rule(ms=st.sampled_from([250, 1000, 4000, 9000, 16_000]))
    def wait(self, ms: float) -> None:
        """Let time pass."""
        self.fleet.advance(ms)

    @rule(
        numbers=st.sets(st.integers(0, _FEW - 1), min_size=1),
        is_relayed=st.booleans(),
    )
    def turn_away(self, numbers: set[int], is_relayed: bool) -> None:
        """The store turns some daemons away and revokes their leases."""
        names = [f'vm-{number}' for number in sorted(numbers)]
        self.fleet.turn_away(names, is_relayed=is_relayed)

    @rule(numbers=st.sets(st.integers(0, _FEW - 1), min_size=1))
    def blind(self, numbers: set[int]) -> None:
        """Some daemons renew their leases and hear nothing of the others."""
        self.fleet.blind([f'vm-{number}' for number in sorted(numbers)])

    @rule(numbers=st.sets(st.integers(0, _FEW - 1), min_size=1))
    def take_back(self, numbers: set[int]) -> None:
        """The store serves some daemons again."""
        self.fleet.take_back([f'vm-{number}' for number in sorted(numbers)])

    @rule(number=st.integers(0, _FEW - 1))
    def restart(self, number: int) -> None:
        """A daemon starts again as a new process."""
        self.fleet.restart([f'vm-{number}'])

    @rule(up=st.booleans(), lapse=st.booleans())
    def change_store(self, up: bool, lapse: bool) -> None:
        """The store goes down or comes back; leases may run out."""
        self.fleet.store_up = up
        if lapse and not up:
            self.fleet.store.clear()

    def teardown(self) -> None:
        """No window has shares or units beyond the whole."""
        share, units = self.fleet.worst_sums()
        assert share <= 1 + _ROUNDING
        assert units <= self.fleet.units


SharesMachine.TestCase.settings = settings(
    stateful_step_count=25, deadline=None
)
TestShares = SharesMachine.TestCase
