"""Order in which members are probed."""

import random

import attrs

from fennelfork.membership._member import MemberStatus
from fennelfork.membership._member_table import MemberTable


@attrs.define(kw_only=True)
class ProbeOrder:
    """Random permutation of the members, shuffled anew after each pass.

    Each member is probed once per pass, so the time until some daemon probes a
    given member does not grow with the fleet.
    """

    own_name: str
    _rng: random.Random
    _remaining: list[str] = attrs.field(factory=list)

    def add(self, name: str) -> None:
        """Insert a new member at a random position of the current pass."""
        place = self._rng.randint(0, len(self._remaining))
        self._remaining.insert(place, name)

    def take_next(self, table: MemberTable) -> str | None:
        """Return the next member that is not dead, or none."""
        while self._remaining:
            name = self._remaining.pop()
            if self._is_eligible(table, name):
                return name
        self._remaining = [
            member.name
            for member in table
            if self._is_eligible(table, member.name)
        ]
        self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None

    def _is_eligible(self, table: MemberTable, name: str) -> bool:
        member = table.get(name)
        if member is None or name == self.own_name:
            return False
        return member.state is not MemberStatus.DEAD
