"""Selection of the membership updates that a message carries."""

from collections.abc import Set as AbstractSet

import attrs


@attrs.define(kw_only=True)
class GossipQueue:
    """Members with a changed record and the transmissions of each change."""

    _transmissions: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of members with a change to transmit."""
        return len(self._transmissions)

    def add(self, name: str) -> None:
        """Queue a change of the member `name` with no transmissions so far."""
        self._transmissions[name] = 0

    def record_known(
        self, names: AbstractSet[str], weight: int, max_transmissions: int
    ) -> None:
        """Count changes that a peer already knows as transmitted.

        Args:
            names: names of members whose record the peer shares.
            weight: number of transmissions to add for each name.
            max_transmissions: number of transmissions that ends a change.
        """
        for name in tuple(names & self._transmissions.keys()):
            self._transmissions[name] += weight
            if self._transmissions[name] >= max_transmissions:
                self._transmissions.pop(name)

    def record_all_known(self, weight: int, max_transmissions: int) -> None:
        """Count all changes as known to a peer with an equal member table."""
        self.record_known(self._transmissions.keys(), weight, max_transmissions)

    def take_names(
        self,
        limit: int,
        max_transmissions: int,
        known: AbstractSet[str],
    ) -> tuple[str, ...]:
        """Return the least transmitted names and count one transmission each.

        Args:
            limit: maximum number of names.
            max_transmissions: number of transmissions that ends a change.
            known: names that the receiver has just sent; these are neither
                returned nor counted.

        Returns:
            Names of changed members, least transmitted first.
        """
        unknown = self._transmissions.keys() - known
        names = sorted(
            unknown, key=lambda name: (self._transmissions[name], name)
        )
        names = names[:limit]
        for name in names:
            self._transmissions[name] += 1
            if self._transmissions[name] >= max_transmissions:
                self._transmissions.pop(name)
        return tuple(names)
