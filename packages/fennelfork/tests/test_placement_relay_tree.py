"""Tree of daemons that pass on updates of the store.

Guards against daemons that wait for each other in a cycle, and against one
daemon that passes on the updates to a whole data centre by itself.
"""

from collections import Counter

import attrs
from core_builders_fleet import build_data_centre_members, build_member
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.membership import Member
from fennelfork.placement import relay_parents

_MAX_CHILDREN = 8


def _parent_names(members: list[Member]) -> dict[str, list[str]]:
    return {
        member.name: [parent.name for parent in relay_parents(member, members)]
        for member in members
    }


def _depth(name: str, parents: dict[str, list[str]]) -> int:
    return 1 + _depth(parents[name][0], parents) if parents[name] else 0


class TestRelayTree:
    """One data centre."""

    @given(st.integers(1, 60))
    def test_one_reader(self, size: int) -> None:
        """Exactly one daemon reads the store, the others are below it."""
        parents = _parent_names(build_data_centre_members('dc-1', size))
        assert sum(not names for names in parents.values()) == 1
        assert max(_depth(name, parents) for name in parents) <= 2

    @given(st.integers(2, 60))
    def test_children_are_bounded(self, size: int) -> None:
        """No daemon passes on updates to more than eight others."""
        parents = _parent_names(build_data_centre_members('dc-1', size))
        children = Counter(names[0] for names in parents.values() if names)
        assert max(children.values()) <= _MAX_CHILDREN

    def test_lost_parent_has_substitutes(self) -> None:
        """All daemons but the first two of the order have two sources."""
        parents = _parent_names(build_data_centre_members('dc-1', 20))
        counts = Counter(len(names) for names in parents.values())
        assert counts[0] == 1
        assert counts[1] == 1
        assert min(len(set(names)) for names in parents.values()) == 0
        assert all(len(set(names)) == len(names) for names in parents.values())

    def test_lost_reader(self) -> None:
        """Another daemon reads the store."""
        members = build_data_centre_members('dc-1', 20)
        parents = _parent_names(members)
        reader = next(name for name, names in parents.items() if not names)
        left = [member for member in members if member.name != reader]
        after = _parent_names(left)
        assert sum(not names for names in after.values()) == 1

    def test_large_vms_first(self) -> None:
        """VMs with the most capacity pass on the updates to most others."""
        small = build_data_centre_members('dc-1', 18)
        large = [
            attrs.evolve(build_member(name), processor_cores=2.15)
            for name in ('l-1', 'l-2')
        ]
        parents = _parent_names([*small, *large])
        children = Counter(names[0] for names in parents.values() if names)
        assert set(children) >= {'l-1', 'l-2'}
        assert children['l-1'] + children['l-2'] >= 16


class TestOtherDaemons:
    """Daemons that pass on no updates."""

    def test_other_data_centre(self) -> None:
        """A daemon of another data centre is not a parent."""
        far = build_member('vm-2', 'dc-2')
        assert not relay_parents(build_member('vm-1'), [far])

    def test_no_peer_address(self) -> None:
        """A daemon of an earlier version is not a parent."""
        old = attrs.evolve(build_member('vm-2'), peer='')
        local = build_member('vm-1')
        assert not relay_parents(local, [old, local])
        assert relay_parents(old, [old, local]) == (local,)

    def test_own_outdated_entry(self) -> None:
        """A daemon is not its own parent after a restart."""
        local = build_member('vm-1')
        before = attrs.evolve(local, incarnation=0)
        assert not relay_parents(local, [before])
