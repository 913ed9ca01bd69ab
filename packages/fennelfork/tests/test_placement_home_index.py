"""Homes of many shards by one index."""

from core_builders_fleet import DATA_CENTRES, a_data_centre, a_member, fleets
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import blackboard
from fennelfork.membership import MemberStatus
from fennelfork.placement import find_home, home_index

_NAMES = st.frozensets(
    st.integers(0, 40).map('vm-{0}'.format),
    max_size=20,
)


class TestHomeIndex:
    """One index instead of a search for each shard."""

    @given(fleets(), _NAMES)
    def test_avoiding_is_leaving_out(self, fleet, avoid) -> None:
        """The home is that of the fleet without those to avoid, if any."""
        index = home_index(fleet)
        left = [member for member in fleet if member.name not in avoid]
        expected = find_home('f', 's', DATA_CENTRES, left)
        expected = expected or find_home('f', 's', DATA_CENTRES, fleet)
        for _ in range(2):
            assert index.home('f', 's', DATA_CENTRES, avoid) == expected

    @given(fleets())
    def test_remembers_each_question_by_itself(self, fleet) -> None:
        """Another front or other data centres are another question."""
        index = home_index(fleet)
        for centres in (DATA_CENTRES, ('dc-2',), ()):
            for front in ('f', 'g'):
                assert index.home(front, 's', centres) == find_home(
                    front,
                    's',
                    centres,
                    fleet,
                )


class TestHomesOfTheBlackboard:
    """The index that follows the members."""

    def test_follows_the_members(self) -> None:
        """Members that are replaced change the homes at once."""
        members = a_data_centre('dc-1', 5)
        board = blackboard(members[0])
        assert board.homes.home('f', 's', ('dc-1',)) == members[0]
        board.members = {member.name: member for member in members}
        home = board.homes.home('f', 's', ('dc-1',))
        assert home == find_home('f', 's', ('dc-1',), members)
        dead = {
            member.name: member.with_state(MemberStatus.DEAD)
            for member in members
        }
        board.members = dead | {'new': a_member('new')}
        assert board.homes.home('f', 's', ('dc-1',)) == a_member('new')
