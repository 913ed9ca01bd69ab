"""The table of members and its digests."""

import random

import attrs
from core_builders_fleet import a_member, fleets
from hypothesis import given

from fennelfork.membership import MemberStatus, MemberTable

_RNG = random.Random(0)


def _table(members) -> MemberTable:
    table = MemberTable()
    for member in members:
        table.put(member)
    return table


class TestDigests:
    """Finding out what two tables differ in."""

    @given(fleets(), fleets())
    def test_differ_where_living_members_differ(self, first, second) -> None:
        """Nothing is given just when the living members are the same."""
        mine = _table(first)
        theirs = _table(second)
        living = [
            {
                (member.name, member.incarnation, member.state)
                for member in table
                if member.state is not MemberStatus.DEAD
            }
            for table in (mine, theirs)
        ]
        assert (mine.digests == theirs.digests) == (living[0] == living[1])

    @given(fleets(), fleets())
    def test_give_what_the_other_lacks(self, first, second) -> None:
        """Each living member that only one has is among what it gives."""
        mine = _table(first)
        theirs = _table(second)
        given_names = {
            member.name
            for member in mine.members_to_sync(theirs.digests, 99, _RNG)
        }
        assert all(
            member.name in given_names
            for member in mine
            if member.state is not MemberStatus.DEAD
            and theirs.get(member.name) is None
        )

    def test_of_a_wrong_size_give_nothing(self) -> None:
        """A daemon of another version, without digests, is told nothing."""
        table = _table([a_member('vm-1')])
        assert table.members_to_sync(b'', 9, _RNG) == ()

    def test_give_no_more_than_the_limit(self) -> None:
        """An empty table gets a part at a time."""
        table = _table([a_member(f'vm-{number}') for number in range(50)])
        empty = MemberTable()
        assert len(table.members_to_sync(empty.digests, 9, _RNG)) == 9


class TestEpoch:
    """What makes homes and entries be worked out anew."""

    def test_rises_with_state_and_not_with_configuration(self) -> None:
        """A new configuration version of a member moves no home."""
        table = _table([a_member('vm-1')])
        epoch = table.epoch
        table.put(a_member('vm-1'))
        newer = attrs.evolve(a_member('vm-1'), config_version=7)
        table.put(newer)
        assert table.epoch == epoch
        assert table.take_reconfigured() == (newer,)
        assert table.take_reconfigured() == ()
        table.put(a_member('vm-1', state=MemberStatus.SUSPECT))
        assert table.epoch > epoch
