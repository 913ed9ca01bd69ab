"""Selection of the entry daemons that are advertised to a caller."""

import random
from collections.abc import Iterable

from fennelfork.membership._capacity import preferred_members
from fennelfork.membership._member import Member, MemberStatus
from fennelfork.placement._weight import member_weight, weight_key

_SAME_DATA_CENTRE = 0
_SAME_REGION = 1
_OTHER_REGION = 2
_MIN_WITH_FALLBACK = 2


def choose_entries(
    caller_region: str,
    caller_data_centre: str,
    members: Iterable[Member],
    count: int,
    salt: str,
    rng: random.Random,
) -> tuple[Member, ...]:
    """Choose the daemons that a caller should use, in order of preference.

    The last place goes to another data centre if there is one, so that the
    selection remains usable after the loss of the nearest data centre.

    Args:
        caller_region: region of the caller, empty if unknown.
        caller_data_centre: data centre of the caller, empty if unknown.
        members: known members of the fleet.
        count: maximum number of daemons to choose.
        salt: name of the caller. The same salt gives the same order as long as
            the members do not change, so that a caller keeps its connections.
            With an empty salt, members at the same distance are shuffled.
        rng: random generator for the order of members.

    Returns:
        Alive members, the nearest first. Members without a configuration are
        chosen only if no alive member has one, suspect members only if no
        member is alive, and leaving or dead members never.
    """
    usable = _select_usable(members)
    usable.sort(key=lambda member: member.name)
    rng.shuffle(usable)
    if salt:
        key = weight_key(salt)
        usable.sort(key=lambda member: member_weight(key, member))
    usable.sort(
        key=lambda member: _rank_distance(
            member,
            caller_region,
            caller_data_centre,
        ),
    )
    return _ensure_fallback(usable, count)


def nearest_entries(
    caller_region: str,
    caller_data_centre: str,
    members: Iterable[Member],
    max_count: int,
    rng: random.Random,
) -> tuple[Member, ...]:
    """Choose the daemons that a caller may use in any order.

    A caller that selects a daemon at random should not reach a distant one, so
    more distant daemons are included only if a single daemon is at the nearest
    distance and its loss would leave the caller without a daemon. Of the
    daemons at one distance, those that answer soonest are chosen.

    Args:
        caller_region: region of the caller, empty if unknown.
        caller_data_centre: data centre of the caller, empty if unknown.
        members: known members of the fleet.
        max_count: maximum number of daemons to choose.
        rng: random generator for the selection among more daemons.
    """
    by_distance: dict[int, list[Member]] = {}
    for member in _select_usable(members):
        distance = _rank_distance(member, caller_region, caller_data_centre)
        by_distance.setdefault(distance, []).append(member)
    chosen: list[Member] = []
    for distance in sorted(by_distance):
        if len(chosen) < _MIN_WITH_FALLBACK:
            chosen.extend(preferred_members(by_distance[distance]))
    rng.shuffle(chosen)
    return tuple(chosen[:max_count])


def _select_usable(members: Iterable[Member]) -> list[Member]:
    known = list(members)
    alive = [member for member in known if member.state is MemberStatus.ALIVE]
    ready = [member for member in alive if member.is_ready]
    suspect = [
        member for member in known if member.state is MemberStatus.SUSPECT
    ]
    return ready or alive or suspect


def _rank_distance(member: Member, region: str, data_centre: str) -> int:
    if member.region != region:
        return _OTHER_REGION
    if member.data_centre != data_centre:
        return _SAME_REGION
    return _SAME_DATA_CENTRE


def _ensure_fallback(ordered: list[Member], count: int) -> tuple[Member, ...]:
    chosen = ordered[:count]
    centres = {member.data_centre for member in chosen}
    if count < _MIN_WITH_FALLBACK or len(centres) > 1:
        return tuple(chosen)
    others = [member for member in ordered if member.data_centre not in centres]
    if others:
        chosen[-1] = others[0]
    return tuple(chosen)
