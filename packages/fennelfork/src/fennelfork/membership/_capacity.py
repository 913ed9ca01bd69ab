"""Preference for the daemons with the most processor capacity."""

from collections.abc import Iterable
from typing import Final

from fennelfork.membership._member import Member

# Callers keep a second daemon when one of the preferred daemons is lost.
_MIN_PREFERRED: Final = 2
# Daemons of at least this share of the reference capacity are alike.
_SIMILAR_RATIO: Final = 0.5
# Part of a limit for a daemon that callers use only under high load, relative to
# a daemon that callers always use.
_RESERVE_WEIGHT: Final = 0.1
# Share of the most capable daemons that are overloaded, from which on all
# daemons serve callers.
_MAX_OVERLOADED_RATIO: Final = 0.5


def capable_members(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members whose VMs have the most processor capacity.

    The reference is the second-highest capacity, so one member that claims too
    much does not exclude all others. Members of unknown capacity count as the
    least capable.
    """
    known = tuple(members)
    if len(known) <= _MIN_PREFERRED:
        return known
    cores = sorted((member.processor_cores for member in known), reverse=True)
    least = cores[_MIN_PREFERRED - 1] * _SIMILAR_RATIO
    return tuple(member for member in known if member.processor_cores >= least)


def preferred_members(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members that callers should use at the current load.

    These are the most capable members that are not overloaded. When at least
    half of the most capable ones are overloaded, all members share the load.
    """
    known = tuple(members)
    capable = capable_members(known)
    idle = tuple(member for member in capable if not member.is_overloaded)
    overloaded_count = len(capable) - len(idle)
    if overloaded_count >= len(capable) * _MAX_OVERLOADED_RATIO:
        return known
    return idle if len(idle) >= _MIN_PREFERRED else capable


def limit_divisor(local: Member, members: Iterable[Member]) -> float:
    """Return the number by which the local daemon divides a limit.

    A limit of the whole fleet is divided by need: the daemons that callers
    prefer get most of it. The parts of all daemons add up to the limit if all
    have the same view; see `FleetShare` for limits that must hold in any case.
    """
    known = {member.name: member for member in (*members, local)}
    by_data_centre: dict[str, list[Member]] = {}
    for member in known.values():
        by_data_centre.setdefault(member.data_centre, []).append(member)
    total = sum(map(_total_weight, by_data_centre.values()))
    capable = capable_members(by_data_centre[local.data_centre])
    return total if local in capable else total / _RESERVE_WEIGHT


def _total_weight(group: list[Member]) -> float:
    capable_count = len(capable_members(group))
    return capable_count + _RESERVE_WEIGHT * (len(group) - capable_count)
