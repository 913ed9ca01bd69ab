"""Homes and watchers by rendezvous hashing."""

from collections import Counter

from core_builders_fleet import (
    DATA_CENTRES,
    a_data_centre,
    a_member,
    fleets,
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


class TestHomeOf:
    """The one daemon that hands out a shard's slots."""

    @given(st.integers(2, 12), st.integers(0, 11))
    def test_moves_only_homes_of_the_lost(self, size: int, which: int) -> None:
        """When a member goes, only the shards it had get another home."""
        members = a_data_centre('dc-1', size)
        lost = members[which % size]
        before = _homes(members)
        after = _homes([member for member in members if member != lost])
        moved = {shard for shard in _SHARDS if before[shard] != after[shard]}
        held = {shard for shard in _SHARDS if before[shard] == lost.name}
        assert moved == held

    @given(st.integers(1, 12))
    def test_moves_only_to_the_new(self, size: int) -> None:
        """When a member joins, a shard either stays or moves to it."""
        members = a_data_centre('dc-1', size)
        joiner = a_member('joiner')
        before = _homes(members)
        after = _homes([*members, joiner])
        assert all(
            after[shard] in {before[shard], joiner.name} for shard in _SHARDS
        )

    @given(fleets(), st.randoms(use_true_random=False))
    def test_does_not_depend_on_order(self, fleet, random) -> None:
        """Daemons that list the members in another order agree."""
        shuffled = list(fleet)
        random.shuffle(shuffled)
        assert _homes(fleet) == _homes(shuffled)

    @given(fleets())
    def test_is_in_the_first_data_centre_with_a_live_one(self, fleet) -> None:
        """The home is alive if any is, and as near as an alive one can be."""
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

    @given(fleets())
    def test_is_never_dead(self, fleet) -> None:
        """There is no home just when all members are dead."""
        home = find_home('front', 'shard', DATA_CENTRES, fleet)
        dead = all(member.state is MemberStatus.DEAD for member in fleet)
        assert (home is None) == dead

    def test_prefers_leaving_to_suspect(self) -> None:
        """A leaving member surely serves, a suspect one may not."""
        leaving = a_member('vm-1', 'dc-2', MemberStatus.LEAVING)
        suspect = a_member('vm-2', 'dc-1', MemberStatus.SUSPECT)
        assert find_home('f', 's', DATA_CENTRES, [suspect, leaving]) == leaving

    def test_prefers_any_with_a_configuration(self) -> None:
        """A daemon that just started knows no front to be a home of."""
        started = a_member('vm-1', 'dc-1', config_version=0)
        far = a_member('vm-2', 'dc-9')
        assert find_home('f', 's', DATA_CENTRES, [started, far]) == far
        assert find_home('f', 's', DATA_CENTRES, [started]) == started

    def test_falls_back_outside_the_listed_data_centres(self) -> None:
        """A shard whose data centres have no daemon still gets a home."""
        far = a_member('vm-1', 'dc-9')
        assert find_home('f', 's', DATA_CENTRES, [far]) == far

    def test_spreads_evenly(self) -> None:
        """Over 9,000 shards and 9 members none is 15% off its share."""
        members = a_data_centre('dc-1', 9)
        counts = Counter(
            home.name
            for number in range(9000)
            if (home := find_home('f', f's{number}', DATA_CENTRES, members))
        )
        assert len(counts) == len(members)
        assert all(abs(count - 1000) < 150 for count in counts.values())


class TestWatchers:
    """The members that watch the platform for their data centre."""

    @given(fleets(), st.sampled_from(DATA_CENTRES), st.integers(1, 4))
    def test_are_the_best_of_the_data_centre(
        self,
        fleet,
        data_centre: str,
        count: int,
    ) -> None:
        """As many as asked for or there are, alive ones first, none dead."""
        local = [
            member
            for member in fleet
            if member.data_centre == data_centre
            and member.state is not MemberStatus.DEAD
        ]
        alive = [
            member for member in local if member.state is MemberStatus.ALIVE
        ]
        named = choose_watchers(data_centre, fleet, count)
        assert len(set(named)) == min(count, len(local))
        assert set(named) <= set(local)
        assert len(set(named) & set(alive)) == min(count, len(alive))

    def test_one_loss_changes_one_watcher(self) -> None:
        """When a watcher dies the other one stays."""
        members = a_data_centre('dc-1', 9)
        first, second = choose_watchers('dc-1', members)
        left = [member for member in members if member != first]
        assert choose_watchers('dc-1', left)[0] == second
