"""Which daemons a caller is told to use."""

import random
from collections.abc import Iterable

from fennelfork.membership._member import Member, MemberStatus
from fennelfork.placement._weight import member_weight, weight_key

_SAME_DATA_CENTRE = 0
_SAME_REGION = 1
_FAR = 2
_FEWEST_WITH_SPARE = 2


def choose_entries(
    caller_region: str,
    caller_data_centre: str,
    members: Iterable[Member],
    count: int,
    salt: str,
    rng: random.Random,
) -> tuple[Member, ...]:
    """Choose the daemons a caller should use, best first.

    The last place goes to another data centre where there is one, so that
    the answer outlives the loss of the nearest.

    Args:
        caller_region: where the caller is, empty if unknown.
        caller_data_centre: where the caller is, empty if unknown.
        members: what is known of the fleet.
        count: how many to choose at most.
        salt: names the caller; the same salt gives the same order while the
            members stay, so that a caller keeps its connections. If empty,
            the order within a distance is random.
        rng: source of that order.

    Returns:
        Alive members, nearest first; those that have no configuration yet
        only if none has, suspect ones only if no member is alive; never a
        leaving or dead one.
    """
    usable = _usable(members)
    usable.sort(key=lambda member: member.name)
    rng.shuffle(usable)
    if salt:
        key = weight_key(salt)
        usable.sort(key=lambda member: member_weight(key, member))
    usable.sort(
        key=lambda member: _distance(
            member,
            caller_region,
            caller_data_centre,
        ),
    )
    return _with_spare(usable, count)


def nearest_entries(
    caller_region: str,
    caller_data_centre: str,
    members: Iterable[Member],
    most: int,
    rng: random.Random,
) -> tuple[Member, ...]:
    """Choose the daemons that a caller may use in any order.

    A caller that draws among them shall not be sent far away, so farther
    ones are named only where the nearest distance has a single daemon, whose
    loss would leave the caller with none.

    Args:
        caller_region: where the caller is, empty if unknown.
        caller_data_centre: where the caller is, empty if unknown.
        members: what is known of the fleet.
        most: how many to choose at most.
        rng: draws among them if there are more.
    """
    by_distance: dict[int, list[Member]] = {}
    for member in _usable(members):
        distance = _distance(member, caller_region, caller_data_centre)
        by_distance.setdefault(distance, []).append(member)
    chosen: list[Member] = []
    for distance in sorted(by_distance):
        if len(chosen) < _FEWEST_WITH_SPARE:
            chosen.extend(by_distance[distance])
    rng.shuffle(chosen)
    return tuple(chosen[:most])


def _usable(members: Iterable[Member]) -> list[Member]:
    known = list(members)
    alive = [member for member in known if member.state is MemberStatus.ALIVE]
    ready = [member for member in alive if member.is_ready]
    suspect = [
        member for member in known if member.state is MemberStatus.SUSPECT
    ]
    return ready or alive or suspect


def _distance(member: Member, region: str, data_centre: str) -> int:
    if member.region != region:
        return _FAR
    if member.data_centre != data_centre:
        return _SAME_REGION
    return _SAME_DATA_CENTRE


def _with_spare(ordered: list[Member], count: int) -> tuple[Member, ...]:
    chosen = ordered[:count]
    centres = {member.data_centre for member in chosen}
    if count < _FEWEST_WITH_SPARE or len(centres) > 1:
        return tuple(chosen)
    spares = [member for member in ordered if member.data_centre not in centres]
    if spares:
        chosen[-1] = spares[0]
    return tuple(chosen)
