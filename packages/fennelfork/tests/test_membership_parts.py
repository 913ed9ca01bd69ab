"""The smaller parts of membership: news, health, order, errands, list."""

import random

import pytest
from core_builders_fleet import a_member
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

_NOBODY: frozenset[str] = frozenset()
_POLICY = MembershipPolicy()


class TestGossipQueue:
    """Which members the next message tells about."""

    def test_drops_what_was_told_often_enough(self) -> None:
        """Each change is told a bounded number of times."""
        queue = GossipQueue()
        queue.add('vm-1')
        told = [queue.take_names(5, 3, _NOBODY) for _ in range(4)]
        assert told == [('vm-1',), ('vm-1',), ('vm-1',), ()]

    def test_prefers_the_least_told(self) -> None:
        """With room for one, changes take turns."""
        queue = GossipQueue()
        for name in ('vm-1', 'vm-2'):
            queue.add(name)
        told = [queue.take_names(1, 9, _NOBODY) for _ in range(4)]
        assert told == [('vm-1',), ('vm-2',), ('vm-1',), ('vm-2',)]

    def test_what_the_receiver_told_is_not_told_back(self) -> None:
        """It does not count as told either."""
        queue = GossipQueue()
        queue.add('vm-1')
        assert queue.take_names(5, 1, {'vm-1'}) == ()
        assert queue.take_names(5, 1, _NOBODY) == ('vm-1',)

    def test_what_others_know_dies_out_sooner(self) -> None:
        """Meeting a daemon that knows a change counts for several tellings."""
        queue = GossipQueue()
        for name in ('vm-1', 'vm-2'):
            queue.add(name)
        queue.record_known({'vm-1', 'vm-9'}, 3, 4)
        assert queue.take_names(5, 4, _NOBODY) == ('vm-2', 'vm-1')
        assert queue.take_names(5, 4, _NOBODY) == ('vm-2',)
        queue.record_all_known(3, 4)
        assert not len(queue)


class TestLocalHealth:
    """How far a daemon stretches its own timeouts."""

    @given(st.lists(st.booleans(), max_size=40))
    def test_stays_in_bounds(self, history: list[bool]) -> None:
        """Between once and nine times, whatever happens."""
        health = LocalHealth()
        for good in history:
            if good:
                health.improve()
            else:
                health.degrade()
            assert 1 <= health.timeout_factor <= 9


class TestProbeOrder:
    """Each member once in a pass."""

    @given(st.integers(1, 12), st.integers(0, 99))
    def test_a_pass_is_a_permutation(self, size: int, seed: int) -> None:
        """No member is probed twice before each was probed once."""
        table = MemberTable()
        for number in range(size):
            table.put(a_member(f'vm-{number}'))
        order = ProbeOrder(own_name='vm-0', rng=random.Random(seed))
        others = {f'vm-{number}' for number in range(1, size)}
        for _ in range(3):
            probed = [order.take_next(table) for _ in range(size - 1)]
            assert sorted(map(str, probed)) == sorted(others)

    def test_leaves_out_the_dead(self) -> None:
        """Nobody to probe gives none."""
        table = MemberTable()
        table.put(a_member('vm-1', state=MemberStatus.DEAD))
        order = ProbeOrder(own_name='vm-0', rng=random.Random(0))
        assert order.take_next(table) is None


class TestErrands:
    """Extra probes, however much happens."""

    @given(st.integers(0, 500), st.integers(1, 60))
    def test_are_bounded_by_rate_and_burst(
        self,
        claims: int,
        seconds: int,
    ) -> None:
        """No more than the burst and the rate times the time."""
        extra_probes = ExtraProbes(policy=_POLICY)
        for number in range(claims):
            extra_probes.add_claim(a_member(f'vm-{number}'))
        done = 0
        for now_ms in range(0, seconds * 1000, 100):
            while extra_probes.take_claim(now_ms) is not None:
                done += 1
        allowed = (
            _POLICY.extra_probe_burst + _POLICY.extra_probes_per_s * seconds
        )
        assert done <= min(claims, allowed)
        assert done >= min(claims, allowed - _POLICY.extra_probes_per_s)

    def test_one_claim_a_member_waits(self) -> None:
        """A rumour that comes by many ways is verified once."""
        extra_probes = ExtraProbes(policy=_POLICY)
        for _ in range(5):
            extra_probes.add_claim(a_member('vm-1'))
        assert extra_probes.take_claim(0) == a_member('vm-1')
        assert extra_probes.take_claim(0) is None


class TestOwnStanding:
    """What a daemon answers to claims about itself."""

    def test_outbids_its_earlier_run(self) -> None:
        """After the clock went back, a higher incarnation is taken."""
        local_member = LocalMember(record=a_member('vm-1'), policy=_POLICY)
        claim = a_member('vm-1', state=MemberStatus.DEAD, incarnation=50)
        assert local_member.apply_claim(claim, 0)
        assert local_member.record.incarnation == 51
        assert not local_member.is_superseded

    @pytest.mark.parametrize(
        ('since_ms', 'denies'), [(100, True), (9e9, False)]
    )
    def test_denies_only_what_can_be_called(
        self,
        since_ms: float,
        *,
        denies: bool,
    ) -> None:
        """Without a probe from outside for long it does not refute."""
        local_member = LocalMember(record=a_member('vm-1'), policy=_POLICY)
        local_member.record_probe(0)
        claim = a_member('vm-1', state=MemberStatus.SUSPECT)
        assert local_member.apply_claim(claim, since_ms) is denies
        assert local_member.refutations == int(denies)


class TestListSchedule:
    """How often the platform's VM list is read."""

    def test_failures_back_off_with_jitter(self) -> None:
        """Waits grow to a bound, never twice the same."""
        schedule = VmListSchedule(rng=random.Random(1))
        waits = []
        for _ in range(12):
            waits.append(schedule.wait_ms(is_alone=True, is_watching=False))
            schedule.record_read(succeeded=False)
        assert waits[0] <= 500
        assert 15_000 <= waits[-1] <= 30_000
        assert len(set(waits)) == 12

    def test_few_read_it_at_rest(self) -> None:
        """A member that neither watches nor is alone reads it rarely."""
        schedule = VmListSchedule(rng=random.Random(1))
        rare = schedule.wait_ms(is_alone=False, is_watching=False)
        assert rare >= 10 * schedule.wait_ms(is_alone=False, is_watching=True)

    def test_success_ends_the_backoff(self) -> None:
        """The next wait is the normal one."""
        schedule = VmListSchedule(failures=9, rng=random.Random(1))
        schedule.record_read(succeeded=True)
        assert schedule.wait_ms(is_alone=True, is_watching=False) <= 500
