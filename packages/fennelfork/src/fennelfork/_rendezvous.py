"""Which daemon does what, by rendezvous hashing over the members.

Each daemon works this out for itself from what it knows of the members. Two
daemons that know different things may name different ones; whatever is
assigned here must stay correct when two members do it at once.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import xxhash

from fennelfork._member import Member, MemberStatus

# A leaving member still serves, a suspect one may not: it comes last.
_PREFERENCE: Final[Mapping[MemberStatus, int]] = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
}
_WATCH_PURPOSE: Final = 'watch'
_HOME_PURPOSE: Final = 'home'


def home_of(
    front: str,
    shard: str,
    data_centres: Sequence[str],
    members: Iterable[Member],
) -> Member | None:
    """Name the daemon that hands out the slots of a shard's servers.

    Args:
        front: name of the search front.
        shard: name of the shard within the front.
        data_centres: where the home should be, best first; usually the data
            centres of the shard's servers.
        members: what is known of the fleet, in any order.

    Returns:
        Of the alive members in the first data centre that has any, the one
        with the highest weight; failing that any alive member elsewhere,
        then a leaving one, then a suspect one; none if all are dead.
    """
    distances = {name: place for place, name in enumerate(data_centres)}
    nearest = _nearest(members, distances)
    key = _key(_HOME_PURPOSE, front, shard)
    return max(nearest, key=lambda member: _rank(key, member), default=None)


def watchers(
    data_centre: str,
    members: Iterable[Member],
    count: int = 2,
) -> tuple[Member, ...]:
    """Name the members of a data centre that watch the platform for it.

    Args:
        data_centre: the data centre to watch for.
        members: what is known of the fleet, in any order.
        count: how many watch.

    Returns:
        At most `count` members, alive ones before leaving before suspect.
    """
    key = _key(_WATCH_PURPOSE, data_centre)
    usable = [
        member
        for member in members
        if member.data_centre == data_centre and member.state in _PREFERENCE
    ]
    usable.sort(key=lambda member: _rank(key, member), reverse=True)
    usable.sort(key=lambda member: _PREFERENCE[member.state])
    return tuple(usable[:count])


def weight(key: str, name: str) -> int:
    """Give the weight of the member `name` for the thing named by `key`."""
    return xxhash.xxh64_intdigest(_key(key, name).encode())


def _nearest(
    members: Iterable[Member],
    distances: Mapping[str, int],
) -> list[Member]:
    elsewhere = len(distances)
    best = (len(_PREFERENCE), elsewhere)
    nearest: list[Member] = []
    for member in members:
        if member.state not in _PREFERENCE:
            continue
        distance = distances.get(member.data_centre, elsewhere)
        grade = (_PREFERENCE[member.state], distance)
        if grade < best:
            best = grade
            nearest = []
        if grade == best:
            nearest.append(member)
    return nearest


def _rank(key: str, member: Member) -> tuple[int, str]:
    return weight(key, member.name), member.name


def _key(*parts: str) -> str:
    return '\0'.join(parts)
