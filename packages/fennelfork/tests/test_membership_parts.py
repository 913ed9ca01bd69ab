"""Parts of membership: gossip, health, probe order, extra probes, VM list."""

import random

import pytest
from core_builders_fleet import build_member
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.membership import (
    MembershipPolicy,
    MemberStatus,
    MemberTable,
    VmListSchedule,
)
from fennelfork.membership._extra_probes import ExtraProbes
from fennelfork.membership._gossip import GossipQueue
from fennelfork.membership._health import LocalHealth
from fennelfork.membership._local_member import LocalMember
from fennelfork.membership._probe_order import ProbeOrder

_NO_NAMES: frozenset[str] = frozenset()
_POLICY = MembershipPolicy()


class TestGossipQueue:
    """Selection of updates for a message."""

    def test_drops_a_change_after_max_transmissions(self) -> None:
        """Each change is transmitted a limited number of times."""
        queue = GossipQueue()
        queue.add('vm-1')
        transmitted = [queue.take_names(5, 3, _NO_NAMES) for _ in range(4)]
        assert transmitted == [('vm-1',), ('vm-1',), ('vm-1',), ()]

    def test_prefers_the_least_transmitted(self) -> None:
        """Changes alternate in messages with room for one."""
        queue = GossipQueue()
        for name in ('vm-1', 'vm-2'):
            queue.add(name)
        transmitted = [queue.take_names(1, 9, _NO_NAMES) for _ in range(4)]
        assert transmitted == [('vm-1',), ('vm-2',), ('vm-1',), ('vm-2',)]

    def test_updates_are_not_sent_back(self) -> None:
        """An update is neither sent back nor counted as transmitted."""
        queue = GossipQueue()
        queue.add('vm-1')
        assert queue.take_names(5, 1, {'vm-1'}) == ()
        assert queue.take_names(5, 1, _NO_NAMES) == ('vm-1',)

    def test_known_changes_end_sooner(self) -> None:
        """A peer that knows a change counts as several transmissions."""
        queue = GossipQueue()
        for name in ('vm-1', 'vm-2'):
            queue.add(name)
        queue.record_known({'vm-1', 'vm-9'}, 3, 4)
        assert queue.take_names(5, 4, _NO_NAMES) == ('vm-2', 'vm-1')
        assert queue.take_names(5, 4, _NO_NAMES) == ('vm-2',)
        queue.record_all_known(3, 4)
        assert not len(queue)


class TestLocalHealth:
    """Multiplier of the local timeouts."""

    @given(st.lists(st.booleans(), max_size=40))
    def test_stays_in_bounds(self, history: list[bool]) -> None:
        """The multiplier stays between one and nine."""
        health = LocalHealth()
        for is_good in history:
            if is_good:
                health.improve()
            else:
                health.degrade()
            assert 1 <= health.timeout_factor <= 9


class TestProbeOrder:
    """One probe per member in each pass."""

    @given(st.integers(1, 12), st.integers(0, 99))
    def test_a_pass_is_a_permutation(self, size: int, seed: int) -> None:
        """No member is probed twice in one pass."""
        table = MemberTable()
        for number in range(size):
            table.put(build_member(f'vm-{number}'))
        order = ProbeOrder(own_name='vm-0', rng=random.Random(seed))
        others = {f'vm-{number}' for number in range(1, size)}
        for _ in range(3):
            probed = [order.take_next(table) for _ in range(size - 1)]
            assert sorted(map(str, probed)) == sorted(others)

    def test_dead_members_are_skipped(self) -> None:
        """Without a live member there is no target."""
        table = MemberTable()
        table.put(build_member('vm-1', state=MemberStatus.DEAD))
        order = ProbeOrder(own_name='vm-0', rng=random.Random(0))
        assert order.take_next(table) is None


class TestExtraProbes:
    """Rate limit of extra probes."""

    @given(st.integers(0, 500), st.integers(1, 60))
    def test_rate_and_burst_are_limited(
        self,
        claims: int,
        seconds: int,
    ) -> None:
        """Extra probes do not exceed the burst plus the rate over time."""
        extra_probes = ExtraProbes(policy=_POLICY)
        for number in range(claims):
            extra_probes.add_claim(build_member(f'vm-{number}'))
        taken = 0
        for now_ms in range(0, seconds * 1000, 100):
            while extra_probes.take_claim(now_ms) is not None:
                taken += 1
        allowed = (
            _POLICY.extra_probe_burst + _POLICY.extra_probes_per_s * seconds
        )
        assert taken <= min(claims, allowed)
        assert taken >= min(claims, allowed - _POLICY.extra_probes_per_s)

    def test_duplicate_claims_are_verified_once(self) -> None:
        """Repeated claims about one member lead to one probe."""
        extra_probes = ExtraProbes(policy=_POLICY)
        for _ in range(5):
            extra_probes.add_claim(build_member('vm-1'))
        assert extra_probes.take_claim(0) == build_member('vm-1')
        assert extra_probes.take_claim(0) is None


class TestLocalMember:
    """Refutation of claims about the local daemon."""

    def test_exceeds_the_incarnation_of_its_earlier_process(self) -> None:
        """A daemon raises its incarnation after the wall clock was set back."""
        local_member = LocalMember(record=build_member('vm-1'), policy=_POLICY)
        claim = build_member('vm-1', state=MemberStatus.DEAD, incarnation=50)
        assert local_member.apply_claim(claim, 0)
        assert local_member.record.incarnation == 51
        assert not local_member.is_superseded

    @pytest.mark.parametrize(
        ('since_ms', 'refutes'), [(100, True), (9e9, False)]
    )
    def test_unreachable_daemon_does_not_refute(
        self,
        since_ms: float,
        *,
        refutes: bool,
    ) -> None:
        """A daemon refutes a suspicion only after a recent probe."""
        local_member = LocalMember(record=build_member('vm-1'), policy=_POLICY)
        local_member.record_probe(0)
        claim = build_member('vm-1', state=MemberStatus.SUSPECT)
        assert local_member.apply_claim(claim, since_ms) is refutes
        assert local_member.refutations == int(refutes)


class TestVmListSchedule:
    """Intervals between reads of the VM list."""

    def test_failures_back_off_with_jitter(self) -> None:
        """Waits grow up to a bound and are never equal."""
        schedule = VmListSchedule(rng=random.Random(1))
        waits = []
        for _ in range(12):
            waits.append(schedule.wait_ms(is_alone=True, is_watching=False))
            schedule.record_read(succeeded=False)
        assert waits[0] <= 500
        assert 15_000 <= waits[-1] <= 30_000
        assert len(set(waits)) == 12

    def test_idle_members_read_rarely(self) -> None:
        """A member that neither watches nor is alone reads the list rarely."""
        schedule = VmListSchedule(rng=random.Random(1))
        rare = schedule.wait_ms(is_alone=False, is_watching=False)
        assert rare >= 10 * schedule.wait_ms(is_alone=False, is_watching=True)

    def test_success_ends_the_backoff(self) -> None:
        """The wait after a successful read is the regular one."""
        schedule = VmListSchedule(failures=9, rng=random.Random(1))
        schedule.record_read(succeeded=True)
        assert schedule.wait_ms(is_alone=True, is_watching=False) <= 500
