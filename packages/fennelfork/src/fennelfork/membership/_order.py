"""In which order members are probed."""

import random

import attrs

from fennelfork.membership._member import MemberStatus
from fennelfork.membership._member_table import MemberTable


@attrs.define(kw_only=True)
class ProbeOrder:
    """A random permutation of the members, a fresh one after each pass.

    So each member is probed once in a pass by each other one, and the time
    until somebody probes a given member does not grow with the fleet.
    """

    own_name: str
    _rng: random.Random
    _rest: list[str] = attrs.field(factory=list)

    def add(self, name: str) -> None:
        """Put a new member at a random place of the running pass."""
        place = self._rng.randint(0, len(self._rest))
        self._rest.insert(place, name)

    def following(self, table: MemberTable) -> str | None:
        """Give the next member that is not dead, none if there is none."""
        while self._rest:
            name = self._rest.pop()
            if self._is_probed(table, name):
                return name
        self._rest = [
            member.name
            for member in table
            if self._is_probed(table, member.name)
        ]
        self._rng.shuffle(self._rest)
        return self._rest.pop() if self._rest else None

    def _is_probed(self, table: MemberTable, name: str) -> bool:
        member = table.get(name)
        if member is None or name == self.own_name:
            return False
        return member.state is not MemberStatus.DEAD
