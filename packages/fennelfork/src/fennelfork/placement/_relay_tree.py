"""Tree in which the daemons of a data centre pass on updates of the store.

A relay is a daemon that passes on updates.
"""

from collections.abc import Iterable
from typing import Final

from fennelfork.membership._capacity import capable_members
from fennelfork.membership._member import Member
from fennelfork.placement._weight import member_weight, weight_key

# Bounds the bytes that a VM with a slow link sends for one update.
_MAX_CHILDREN: Final = 8
# Daemons at the top of the tree, one of which is the substitute of a parent.
_TOP: Final = 2


def relay_parents(
    local: Member, members: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the daemons from which a daemon receives updates of the store.

    All daemons of a data centre are put in the same order, the most capable
    ones first. Each receives updates only from daemons before it, so there are
    no cycles among daemons that know the same members.

    Args:
        local: the daemon that receives updates.
        members: known members of the fleet; those without a peer address do
            not pass on updates.

    Returns:
        The parent in the tree and a substitute, if there is one; empty for the
        first daemon of the order, which reads the store.
    """
    order = _relay_order(local, members)
    rank = order.index(local)
    if not rank:
        return ()
    parent = order[(rank - 1) // _MAX_CHILDREN]
    substitutes = [
        member for member in order[: min(rank, _TOP)] if member != parent
    ]
    return (parent, *substitutes[:1])


def _relay_order(local: Member, members: Iterable[Member]) -> list[Member]:
    """Return the daemons that may pass on updates, and the local daemon."""
    relays = [
        member
        for member in members
        if member.data_centre == local.data_centre
        and member.peer
        and member.name != local.name
    ]
    known = [local, *relays]
    capable = {member.name for member in capable_members(known)}
    key = weight_key('relay', local.data_centre)
    return sorted(
        known,
        key=lambda member: (
            bool(member.peer),
            member.name in capable,
            member_weight(key, member),
        ),
        reverse=True,
    )
