"""Which members the next message tells about."""

from collections.abc import Set as AbstractSet

import attrs


@attrs.define(kw_only=True)
class GossipQueue:
    """Names of members whose record changed, with how often it was told."""

    _transmissions: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Count the members that are still told about."""
        return len(self._transmissions)

    def add(self, name: str) -> None:
        """Tell about `name` from now on, as a fresh change."""
        self._transmissions[name] = 0

    def record_known(
        self, names: AbstractSet[str], weight: int, max_transmissions: int
    ) -> None:
        """Count changes that another daemon evidently knows as told.

        Args:
            names: of the members it agrees on.
            weight: how many tellings one agreement counts for.
            most: after how many tellings a name is dropped.
        """
        for name in tuple(names & self._transmissions.keys()):
            self._transmissions[name] += weight
            if self._transmissions[name] >= max_transmissions:
                self._transmissions.pop(name)

    def record_all_known(self, weight: int, max_transmissions: int) -> None:
        """Count all changes so, after meeting a daemon with an equal table."""
        self.record_known(self._transmissions.keys(), weight, max_transmissions)

    def take_names(
        self,
        limit: int,
        max_transmissions: int,
        known: AbstractSet[str],
    ) -> tuple[str, ...]:
        """Give the least-told names and count them as told once more.

        Args:
            limit: how many names at most.
            tellings: after how many a name is dropped.
            known: names that the receiver has just told about itself; these
                are not given and not counted.

        Returns:
            The names, least told first.
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
