"""Index of home daemons.

Home daemon: the daemon that schedules the requests of one shard.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import product
from typing import Final

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.placement._weight import heaviest_member, weight_key

# Suspect members come last: unlike leaving members, they may not respond.
_PREFERENCE: Final = (
    MemberStatus.ALIVE,
    MemberStatus.LEAVING,
    MemberStatus.SUSPECT,
)
_PURPOSE: Final = 'home'
_MAX_CACHED_HOMES: Final = 65_536
_NO_MEMBERS: Final[frozenset[str]] = frozenset()

_Group = tuple[bool, MemberStatus, str]
_CacheKey = tuple[str, str, tuple[str, ...]]


@attrs.define(kw_only=True)
class HomeIndex:
    """Members by state and data centre, with a cache of home daemons.

    The index is valid for one membership; a change of the members requires a
    new index. The first look-up of a shard hashes each member of a data centre,
    later look-ups read the cache.
    """

    _groups: Mapping[_Group, list[Member]]
    _cache: dict[_CacheKey, Member | None] = attrs.field(factory=dict)

    def find_home(
        self,
        front: str,
        shard: str,
        data_centres: Sequence[str],
        avoided_members: frozenset[str] = _NO_MEMBERS,
    ) -> Member | None:
        """Return the home daemon of a shard.

        Args:
            front: name of the search front.
            shard: name of the shard within the front.
            data_centres: preferred data centres of the home daemon, best first.
            avoided_members: names of members to use only if no other member is usable.

        Returns:
            The member with the highest weight among the alive members of the
            first data centre that has any. Without such a member: an alive
            member of another data centre, then a leaving, then a suspect
            member. Members without a configuration come last; none if all
            members are dead.
        """
        cache_key = (front, shard, tuple(data_centres))
        best = self._cached_home(cache_key)
        if best is None or best.name not in avoided_members:
            return best
        return self._find_home(cache_key, avoided_members) or best

    def _cached_home(self, cache_key: _CacheKey) -> Member | None:
        if cache_key not in self._cache:
            if len(self._cache) >= _MAX_CACHED_HOMES:
                self._cache.clear()
            self._cache[cache_key] = self._find_home(cache_key, _NO_MEMBERS)
        return self._cache[cache_key]

    def _find_home(
        self, cache_key: _CacheKey, avoided_members: frozenset[str]
    ) -> Member | None:
        front, shard, data_centres = cache_key
        key = weight_key(_PURPOSE, front, shard)
        for group in self._ordered_groups(data_centres):
            candidates = [
                member for member in group if member.name not in avoided_members
            ]
            if candidates:
                return heaviest_member(key, candidates)
        return None

    def _ordered_groups(
        self,
        data_centres: tuple[str, ...],
    ) -> Iterator[list[Member]]:
        for ready, state in product((True, False), _PREFERENCE):
            for data_centre in data_centres:
                yield self._groups.get((ready, state, data_centre), [])
            yield [
                member
                for (*held, centre), group in self._groups.items()
                if held == [ready, state] and centre not in data_centres
                for member in group
            ]


def home_index(members: Iterable[Member]) -> HomeIndex:
    """Build the index of home daemons from the members of the fleet."""
    groups: dict[_Group, list[Member]] = {}
    for member in members:
        key = (member.is_ready, member.state, member.data_centre)
        groups.setdefault(key, []).append(member)
    return HomeIndex(groups=groups)
