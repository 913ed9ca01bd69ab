"""Member table and its digests."""

import random

import attrs
from core_builders_fleet import build_member, fleet_strategy
from hypothesis import given

from fennelfork.membership import MemberStatus, MemberTable

_RNG = random.Random(0)


def _table(members) -> MemberTable:
    table = MemberTable()
    for member in members:
        table.put(member)
    return table


class TestDigests:
    """Detection of differences between two tables."""

    @given(fleet_strategy(), fleet_strategy())
    def test_differ_with_the_live_members(self, first, second) -> None:
        """Digests are equal exactly if the live members are equal."""
        own = _table(first)
        other = _table(second)
        living = [
            {
                (member.name, member.incarnation, member.state)
                for member in table
                if member.state is not MemberStatus.DEAD
            }
            for table in (own, other)
        ]
        assert (own.digests == other.digests) == (living[0] == living[1])

    @given(fleet_strategy(), fleet_strategy())
    def test_missing_members_are_returned(self, first, second) -> None:
        """Live members that the other table lacks are among those returned."""
        own = _table(first)
        other = _table(second)
        given_names = {
            member.name
            for member in own.members_to_sync(other.digests, 99, _RNG)
        }
        assert all(
            member.name in given_names
            for member in own
            if member.state is not MemberStatus.DEAD
            and other.get(member.name) is None
        )

    def test_wrong_size_returns_no_members(self) -> None:
        """Digests of another size, such as empty ones, return no members."""
        table = _table([build_member('vm-1')])
        assert table.members_to_sync(b'', 9, _RNG) == ()

    def test_limit_is_kept(self) -> None:
        """A peer with an empty table receives a limited number of members."""
        table = _table([build_member(f'vm-{number}') for number in range(50)])
        empty = MemberTable()
        assert len(table.members_to_sync(empty.digests, 9, _RNG)) == 9


class TestEpoch:
    """Changes that invalidate homes and entry answers."""

    def test_rises_with_state_but_not_with_configuration(self) -> None:
        """A new configuration version of a member moves no home."""
        table = _table([build_member('vm-1')])
        epoch = table.epoch
        table.put(build_member('vm-1'))
        newer = attrs.evolve(build_member('vm-1'), config_version=7)
        table.put(newer)
        assert table.epoch == epoch
        assert table.take_reconfigured() == (newer,)
        assert table.take_reconfigured() == ()
        table.put(build_member('vm-1', state=MemberStatus.SUSPECT))
        assert table.epoch > epoch
