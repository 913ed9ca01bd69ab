"""Which daemon does what, by rendezvous hashing over the members.

Each daemon works this out for itself from what it knows of the members. Two
daemons that know different things may name different ones; whatever is
assigned here must stay correct when two members do it at once.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.placement._home_index import home_index
from fennelfork.placement._weight import member_weight, weight_key

_PREFERENCE: Final = (
    MemberStatus.ALIVE,
    MemberStatus.LEAVING,
    MemberStatus.SUSPECT,
)
_PURPOSE: Final = 'watch'


def find_home(
    front: str,
    shard: str,
    data_centres: Sequence[str],
    members: Iterable[Member],
) -> Member | None:
    """Name the home of one shard; see `HomeIndex.home` for many."""
    return home_index(members).home(front, shard, data_centres)


def choose_watchers(
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
    key = weight_key(_PURPOSE, data_centre)
    candidates = [
        member
        for member in members
        if member.data_centre == data_centre and member.state in _PREFERENCE
    ]
    candidates.sort(key=lambda member: member_weight(key, member), reverse=True)
    candidates.sort(key=lambda member: _PREFERENCE.index(member.state))
    return tuple(candidates[:count])
