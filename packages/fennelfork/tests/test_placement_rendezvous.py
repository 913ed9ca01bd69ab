"""Tests of the choice of homes and watchers by rendezvous hashing."""

from collections import Counter

from core_builders_fleet import (
    DATA_CENTRES,
    build_data_centre_members,
    build_member,
    fleet_strategy,
)
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.membership import Member, MemberStatus
from fennelfork.placement import choose_watchers, find_home

_SHARDS = [f's{number}' for number in range(60)]


def _homes(members: list[Member]) -> dict[str, str | None]:
    homes = {
        shard: find_home('front', shard, DATA_CENTRES, members)
        for shard in _SHARDS
    }
    return {shard: home and home.name for shard, home in homes.items()}


class TestFindHome:
    """The home daemon of a shard."""

    @given(st.integers(2, 12), st.integers(0, 11))
    def test_removed_member_moves_only_its_shards(
        self, size: int, position: int
    ) -> None:
        """Only the shards of a removed member get another home."""
        members = build_data_centre_members('dc-1', size)
        removed = members[position % size]
        before = _homes(members)
        after = _homes([member for member in members if member != removed])
        moved = {shard for shard in _SHARDS if before[shard] != after[shard]}
        owned = {shard for shard in _SHARDS if before[shard] == removed.name}
        assert moved == owned

    @given(st.integers(1, 12))
    def test_added_member_receives_all_moved_shards(self, size: int) -> None:
        """After a member joins, a shard keeps its home or moves to the member."""
        members = build_data_centre_members('dc-1', size)
        joiner = build_member('joiner')
        before = _homes(members)
        after = _homes([*members, joiner])
        assert all(
            after[shard] in {before[shard], joiner.name} for shard in _SHARDS
        )

    @given(fleet_strategy(), st.randoms(use_true_random=False))
    def test_home_does_not_depend_on_the_member_order(
        self, fleet, random
    ) -> None:
        """Daemons with another order of the members choose the same homes."""
        shuffled = list(fleet)
        random.shuffle(shuffled)
        assert _homes(fleet) == _homes(shuffled)

    @given(fleet_strategy())
    def test_home_is_in_the_first_data_centre_with_an_alive_member(
        self, fleet
    ) -> None:
        """The home is an alive member of the best data centre that has one."""
        home = find_home('front', 'shard', DATA_CENTRES, fleet)
        alive = {
            member.data_centre
            for member in fleet
            if member.state is MemberStatus.ALIVE
        }
        if alive:
            assert home is not None
            assert home.state is MemberStatus.ALIVE
            assert home.data_centre == min(alive, key=DATA_CENTRES.index)

    @given(fleet_strategy())
    def test_home_is_never_dead(self, fleet) -> None:
        """There is no home if and only if all members are dead."""
        home = find_home('front', 'shard', DATA_CENTRES, fleet)
        dead = all(member.state is MemberStatus.DEAD for member in fleet)
        assert (home is None) == dead

    def test_leaving_member_is_preferred_to_suspect_member(self) -> None:
        """A leaving member still responds; a suspect member may not."""
        leaving = build_member('vm-1', 'dc-2', MemberStatus.LEAVING)
        suspect = build_member('vm-2', 'dc-1', MemberStatus.SUSPECT)
        assert find_home('f', 's', DATA_CENTRES, [suspect, leaving]) == leaving

    def test_member_with_a_configuration_is_preferred(self) -> None:
        """A member without a configuration is the home only as a last resort."""
        without_config = build_member('vm-1', 'dc-1', config_version=0)
        far = build_member('vm-2', 'dc-9')
        assert find_home('f', 's', DATA_CENTRES, [without_config, far]) == far
        assert (
            find_home('f', 's', DATA_CENTRES, [without_config])
            == without_config
        )

    def test_home_may_be_outside_the_listed_data_centres(self) -> None:
        """A shard without a daemon in its data centres still has a home."""
        far = build_member('vm-1', 'dc-9')
        assert find_home('f', 's', DATA_CENTRES, [far]) == far

    def test_homes_are_balanced(self) -> None:
        """9 members get 9,000 shards with less than 15% deviation each."""
        members = build_data_centre_members('dc-1', 9)
        counts = Counter(
            home.name
            for number in range(9000)
            if (home := find_home('f', f's{number}', DATA_CENTRES, members))
        )
        assert len(counts) == len(members)
        assert all(abs(count - 1000) < 150 for count in counts.values())


class TestChooseWatchers:
    """The members that watch the platform for a data centre."""

    @given(fleet_strategy(), st.sampled_from(DATA_CENTRES), st.integers(1, 4))
    def test_alive_members_of_the_data_centre_are_preferred(
        self,
        fleet,
        data_centre: str,
        count: int,
    ) -> None:
        """At most `count` members are chosen, alive ones first, none dead."""
        local = [
            member
            for member in fleet
            if member.data_centre == data_centre
            and member.state is not MemberStatus.DEAD
        ]
        alive = [
            member for member in local if member.state is MemberStatus.ALIVE
        ]
        chosen = choose_watchers(data_centre, fleet, count)
        assert len(set(chosen)) == min(count, len(local))
        assert set(chosen) <= set(local)
        assert len(set(chosen) & set(alive)) == min(count, len(alive))

    def test_loss_of_one_watcher_keeps_the_other(self) -> None:
        """The second watcher remains after the removal of the first."""
        members = build_data_centre_members('dc-1', 9)
        first, second = choose_watchers('dc-1', members)
        remaining = [member for member in members if member != first]
        assert choose_watchers('dc-1', remaining)[0] == second
