"""Selection of entry daemons on VMs of different capacity.

Guards against callers that wait for daemons on slow VMs while faster ones are
idle, and against fast VMs that get more callers than they can serve.
"""

import random

import attrs
import pytest
from core_builders_fleet import DATA_CENTRES, build_member
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fennelfork import nearest_entries
from fennelfork.membership import (
    Member,
    limit_divisor,
    preferred_members,
)

_LARGE = 2.15
_SMALL = 0.516
_CORES = (_LARGE, _SMALL, 0.0)
# Load of one daemon in cores per core of its VM above which it is overloaded.
_MAX_LOAD = 0.7


def _build(name: str, cores: float, data_centre: str = 'dc-1') -> Member:
    return attrs.evolve(build_member(name, data_centre), processor_cores=cores)


def _mixed_data_centre(data_centre: str = 'dc-1') -> list[Member]:
    """Build three large and twelve small VMs."""
    large = [
        _build(f'{data_centre}-l{index}', _LARGE, data_centre)
        for index in range(3)
    ]
    small = [
        _build(f'{data_centre}-s{index}', _SMALL, data_centre)
        for index in range(12)
    ]
    return large + small


def _names(members: list[Member], data_centre: str = 'dc-1') -> set[str]:
    chosen = nearest_entries(
        'region-1', data_centre, members, 64, random.Random(1)
    )
    return {member.name for member in chosen}


def _overload(members: list[Member], *names: str) -> list[Member]:
    return [
        attrs.evolve(member, is_overloaded=member.name in names)
        for member in members
    ]


class TestMixedFleet:
    """Callers use the daemons that answer soonest."""

    def test_calm_load(self) -> None:
        """Only the large VMs are chosen."""
        chosen = _names(_mixed_data_centre())
        assert chosen == {'dc-1-l0', 'dc-1-l1', 'dc-1-l2'}

    def test_five_times_the_load(self) -> None:
        """All VMs share a load that overloads most of the large VMs."""
        members = _overload(_mixed_data_centre(), 'dc-1-l0', 'dc-1-l2')
        assert len(_names(members)) == 15

    def test_one_slow_large_vm(self) -> None:
        """One overloaded daemon among the large VMs is left out."""
        members = _overload(_mixed_data_centre(), 'dc-1-l1')
        assert _names(members) == {'dc-1-l0', 'dc-1-l2'}

    def test_all_large_vms_lost(self) -> None:
        """All small VMs of the data centre serve."""
        members = [
            member
            for member in _mixed_data_centre()
            if member.processor_cores < _LARGE
        ]
        assert len(_names(members)) == 12

    def test_one_large_vm_left(self) -> None:
        """A single large VM does not serve a data centre by itself."""
        members = _mixed_data_centre()[2:]
        assert len(_names(members)) == 13

    def test_rolling_restart(self) -> None:
        """While one large VM restarts, the others serve."""
        members = _mixed_data_centre()
        assert _names(members[1:]) == {'dc-1-l1', 'dc-1-l2'}
        assert _names(members[:1] + members[2:]) == {'dc-1-l0', 'dc-1-l2'}

    def test_data_centre_without_large_vms(self) -> None:
        """Callers use the nearby small VMs, not distant large ones."""
        members = [
            *_mixed_data_centre('dc-2'),
            *(_build(f's{index}', _SMALL) for index in range(4)),
        ]
        assert _names(members) == {'s0', 's1', 's2', 's3'}

    def test_false_claim(self) -> None:
        """One daemon that claims too much does not get all callers."""
        members = [*_mixed_data_centre(), _build('liar', 1000)]
        assert len(_names(members)) == 4


class TestSharedLimits:
    """A limit of the whole fleet goes to the daemons that callers use."""

    @given(
        st.lists(
            st.tuples(st.sampled_from(DATA_CENTRES), st.sampled_from(_CORES)),
            min_size=1,
            max_size=30,
        )
    )
    def test_parts_add_up(self, places: list[tuple[str, float]]) -> None:
        """The parts of all daemons are the whole limit."""
        members = [
            _build(f'vm-{index}', cores, data_centre)
            for index, (data_centre, cores) in enumerate(places)
        ]
        parts = [1 / limit_divisor(member, members) for member in members]
        assert sum(parts) == pytest.approx(1)

    def test_equal_daemons(self) -> None:
        """Equal daemons get equal parts."""
        members = [_build(f'vm-{index}', 1.07) for index in range(5)]
        assert limit_divisor(members[0], members) == 5

    def test_preferred_daemons(self) -> None:
        """The large VMs get most of a limit, the small ones keep a part."""
        members = [
            *_mixed_data_centre(),
            *_mixed_data_centre('dc-2'),
        ]
        assert limit_divisor(members[0], members) == pytest.approx(8.4)
        assert limit_divisor(members[-1], members) == pytest.approx(84)

    def test_unregistered_daemon(self) -> None:
        """A daemon that is not registered yet counts itself."""
        members = [_build(f'vm-{index}', 1.07) for index in range(4)]
        assert limit_divisor(_build('new', 1.07), members) == 5


class TestEqualFleet:
    """VMs of equal capacity are chosen alike."""

    def test_known_capacity(self) -> None:
        """All VMs are chosen."""
        members = [_build(f'vm-{index}', 1.07) for index in range(4)]
        assert len(_names(members)) == 4

    def test_unknown_capacity(self) -> None:
        """Daemons that do not publish a capacity are chosen alike."""
        members = [build_member(f'vm-{index}') for index in range(4)]
        assert len(_names(members)) == 4

    def test_two_daemons(self) -> None:
        """Both are chosen, whatever their capacity and load."""
        members = _overload([_build('a', _LARGE), _build('b', _SMALL)], 'a')
        assert _names(members) == {'a', 'b'}


class PreferenceMachine(RuleBasedStateMachine):
    """Daemons join, are lost, and are loaded in proportion to their callers."""

    def __init__(self) -> None:
        """Start without daemons and without load."""
        super().__init__()
        self._members: dict[str, Member] = {}
        self._load_cores = 0.0

    @initialize(count=st.integers(1, 5))
    def start(self, count: int) -> None:
        """Start some daemons on large VMs."""
        for index in range(count):
            self.join(index, _LARGE)

    @rule(index=st.integers(0, 20), cores=st.sampled_from(_CORES))
    def join(self, index: int, cores: float) -> None:
        """Start a daemon on a VM."""
        name = f'vm-{index}'
        self._members[name] = _build(name, cores)

    @rule(index=st.integers(0, 20))
    def lose(self, index: int) -> None:
        """Lose a daemon, but not the last one."""
        if len(self._members) > 1:
            self._members.pop(f'vm-{index}', None)

    @rule(load_cores=st.floats(0, 30))
    def change_load(self, load_cores: float) -> None:
        """Change the load of all callers; daemons publish an overload."""
        self._load_cores = load_cores
        for _ in self._members:
            self._publish_overloads()

    @invariant()
    def callers_have_daemons(self) -> None:
        """A caller has two daemons wherever two are known."""
        preferred = preferred_members(self._members.values())
        assert len(preferred) >= min(2, len(self._members))
        assert len(set(preferred)) == len(preferred)

    @invariant()
    def no_better_daemon_is_idle(self) -> None:
        """No daemon that is left out is faster than all preferred ones."""
        preferred = preferred_members(self._members.values())
        best = max((each.processor_cores for each in preferred), default=0)
        left_out = set(self._members.values()) - set(preferred)
        assert all(
            each.is_overloaded or each.processor_cores <= best
            for each in left_out
        )

    @invariant()
    def overload_is_shared(self) -> None:
        """If all preferred daemons are overloaded, no other is spared."""
        preferred = preferred_members(self._members.values())
        if all(each.is_overloaded for each in preferred):
            assert len(preferred) == len(self._members)

    def _publish_overloads(self) -> None:
        """Publish the overload of each daemon that callers use now."""
        preferred = preferred_members(self._members.values())
        each_load = self._load_cores / max(1, len(preferred))
        for member in preferred:
            is_overloaded = each_load > _MAX_LOAD * member.processor_cores
            self._members[member.name] = attrs.evolve(
                member, is_overloaded=is_overloaded
            )


TestPreferenceMachine = PreferenceMachine.TestCase
TestPreferenceMachine.settings = settings(deadline=None)
