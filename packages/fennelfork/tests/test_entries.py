"""Selection of the entry daemons that are advertised to callers."""

import random
from collections import Counter

import pytest
from core_builders_fleet import (
    DATA_CENTRES,
    build_data_centre_members,
    build_member,
    fleet_strategy,
)
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import choose_entries
from fennelfork.membership import Member, MemberStatus


def _choose(
    members: list[Member],
    count: int = 3,
    salt: str = '',
    seed: int = 0,
) -> tuple[Member, ...]:
    return choose_entries(
        'region-1',
        'dc-1',
        members,
        count,
        salt,
        random.Random(seed),
    )


class TestChooseEntries:
    """Selection of a few daemons for a caller."""

    @given(fleet_strategy(), st.integers(1, 5), st.text(max_size=3))
    def test_excludes_leaving_and_dead(self, fleet, count, salt) -> None:
        """A leaving or dead member is never selected."""
        chosen = _choose(fleet, count, salt)
        allowed = {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        assert {member.state for member in chosen} <= allowed

    @given(fleet_strategy(), st.integers(1, 5), st.text(max_size=3))
    def test_prefers_alive_members(self, fleet, count, salt) -> None:
        """Suspect members are selected only if no member is alive."""
        alive = [
            member for member in fleet if member.state is MemberStatus.ALIVE
        ]
        chosen = _choose(fleet, count, salt)
        if alive:
            assert set(chosen) <= set(alive)
            assert len(set(chosen)) == min(count, len(alive))

    def test_excludes_members_without_configuration(self) -> None:
        """A daemon without configuration is selected only as a last resort."""
        started = build_member('vm-1', config_version=0)
        far = build_member('vm-2', 'dc-3', region='region-2')
        assert _choose([started, far]) == (far,)
        assert _choose([started]) == (started,)

    def test_nearest_data_centre_first(self) -> None:
        """The order is own data centre, own region, other regions."""
        far = build_member('vm-1', 'dc-3', region='region-2')
        near = build_member('vm-2', 'dc-2')
        own = build_member('vm-3', 'dc-1')
        assert _choose([far, near, own]) == (own, near, far)

    def test_last_place_goes_to_another_data_centre(self) -> None:
        """A selection remains usable after the loss of a data centre."""
        members = build_data_centre_members(
            'dc-1', 5
        ) + build_data_centre_members('dc-2', 5)
        centres = [member.data_centre for member in _choose(members)]
        assert centres == ['dc-1', 'dc-1', 'dc-2']

    @pytest.mark.parametrize('count', [1, 2, 3])
    def test_one_data_centre_fills_all_places(self, count: int) -> None:
        """All places are local if there is only one data centre."""
        assert (
            len(_choose(build_data_centre_members('dc-1', 3), count)) == count
        )

    def test_same_salt_keeps_the_order(self) -> None:
        """A caller gets the same daemons again and keeps its connections."""
        members = build_data_centre_members('dc-1', 9)
        first = _choose(members, salt='a', seed=1)
        members.reverse()
        assert _choose(members, salt='a', seed=2) == first

    @pytest.mark.parametrize('salted', [True, False])
    def test_spreads_first_places_evenly(self, *, salted: bool) -> None:
        """Over 9,000 callers each member is within 15% of its share."""
        members = [
            member
            for data_centre in DATA_CENTRES
            for member in build_data_centre_members(data_centre, 9)
        ]
        rng = random.Random(7)
        firsts = Counter(
            choose_entries(
                'region-1',
                'dc-1',
                members,
                3,
                f'caller-{number}' if salted else '',
                rng,
            )[0].name
            for number in range(9000)
        )
        assert len(firsts) == 9
        assert all(abs(count - 1000) < 150 for count in firsts.values())
