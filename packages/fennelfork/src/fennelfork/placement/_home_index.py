"""Homes of shards, found fast for a fleet of some hundred members."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import product
from typing import Final

import attrs

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.placement._weight import heaviest_member, weight_key

# A leaving member still serves, a suspect one may not: it comes last.
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
    """Members by state and data centre, and the homes worked out so far.

    It holds for one state of the members; build another when they change.
    A home costs one hash for each member of a data centre the first time, and
    one look-up after that.
    """

    _groups: Mapping[_Group, list[Member]]
    _cache: dict[_CacheKey, Member | None] = attrs.field(factory=dict)

    def home(
        self,
        front: str,
        shard: str,
        data_centres: Sequence[str],
        avoid: frozenset[str] = _NO_MEMBERS,
    ) -> Member | None:
        """Name the daemon that hands out the slots of a shard's servers.

        Args:
            front: name of the search front.
            shard: name of the shard within the front.
            data_centres: where the home should be, best first.
            avoid: members to use only where no other is left.

        Returns:
            Of the alive members in the first data centre that has any, the
            one with the highest weight; failing that any alive member
            elsewhere, then a leaving one, then a suspect one; those without
            a configuration come last; none if all are dead.
        """
        cache_key = (front, shard, tuple(data_centres))
        best = self._cached_home(cache_key)
        if best is None or best.name not in avoid:
            return best
        return self._find_home(cache_key, avoid) or best

    def _cached_home(self, cache_key: _CacheKey) -> Member | None:
        if cache_key not in self._cache:
            if len(self._cache) >= _MAX_CACHED_HOMES:
                self._cache.clear()
            self._cache[cache_key] = self._find_home(cache_key, _NO_MEMBERS)
        return self._cache[cache_key]

    def _find_home(
        self, cache_key: _CacheKey, avoid: frozenset[str]
    ) -> Member | None:
        front, shard, data_centres = cache_key
        key = weight_key(_PURPOSE, front, shard)
        for group in self._ordered_groups(data_centres):
            candidates = [
                member for member in group if member.name not in avoid
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
    """Build the index of members as they are now."""
    groups: dict[_Group, list[Member]] = {}
    for member in members:
        key = (member.is_ready, member.state, member.data_centre)
        groups.setdefault(key, []).append(member)
    return HomeIndex(groups=groups)
