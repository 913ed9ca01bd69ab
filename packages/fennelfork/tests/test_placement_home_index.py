"""Tests of the index of home daemons."""

from core_builders_fleet import (
    DATA_CENTRES,
    build_data_centre_members,
    build_member,
    fleet_strategy,
)
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
    """Look-ups in one index."""

    @given(fleet_strategy(), _NAMES)
    def test_avoided_members_are_excluded(self, fleet, avoid) -> None:
        """An avoided member is the home only if no other member is usable."""
        index = home_index(fleet)
        remaining = [member for member in fleet if member.name not in avoid]
        expected = find_home('f', 's', DATA_CENTRES, remaining)
        expected = expected or find_home('f', 's', DATA_CENTRES, fleet)
        for _ in range(2):
            assert index.find_home('f', 's', DATA_CENTRES, avoid) == expected

    @given(fleet_strategy())
    def test_cache_distinguishes_fronts_and_data_centres(self, fleet) -> None:
        """Guards against a cached home of another front or data centre list."""
        index = home_index(fleet)
        for centres in (DATA_CENTRES, ('dc-2',), ()):
            for front in ('f', 'g'):
                assert index.find_home(front, 's', centres) == find_home(
                    front,
                    's',
                    centres,
                    fleet,
                )


class TestHomesOfTheBlackboard:
    """The index of the blackboard."""

    def test_homes_change_with_the_members(self) -> None:
        """Guards against homes of outdated members."""
        members = build_data_centre_members('dc-1', 5)
        board = blackboard(members[0])
        assert board.homes.find_home('f', 's', ('dc-1',)) == members[0]
        board.members = {member.name: member for member in members}
        home = board.homes.find_home('f', 's', ('dc-1',))
        assert home == find_home('f', 's', ('dc-1',), members)
        dead = {
            member.name: member.with_state(MemberStatus.DEAD)
            for member in members
        }
        board.members = dead | {'new': build_member('new')}
        assert board.homes.find_home('f', 's', ('dc-1',)) == build_member('new')
