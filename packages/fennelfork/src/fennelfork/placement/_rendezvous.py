"""Assignment of work to daemons by rendezvous hashing of the members.

Each daemon computes the assignments from its own view of the members. Daemons
with different views may assign the same work to different members, so the
assigned work must remain correct if two members execute it concurrently.
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
    """Return the home daemon of one shard, without the cache of `HomeIndex`."""
    return home_index(members).find_home(front, shard, data_centres)


def choose_watchers(
    data_centre: str,
    members: Iterable[Member],
    count: int = 2,
) -> tuple[Member, ...]:
    """Choose the members of a data centre that watch the platform.

    Args:
        data_centre: name of the data centre.
        members: members of the fleet in any order.
        count: maximum number of watchers.

    Returns:
        At most `count` members: alive members before leaving members before
        suspect members.
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
