"""Preference for the daemons with the most processor capacity."""

from collections.abc import Iterable
from typing import Final

from fennelfork.membership._member import Member

# Callers keep a second daemon when one of the preferred daemons is lost.
_MIN_PREFERRED: Final = 2
# Daemons of at least this share of the reference capacity are alike.
_SIMILAR_RATIO: Final = 0.5
# Share of overloaded daemons from which on the others must help.
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
