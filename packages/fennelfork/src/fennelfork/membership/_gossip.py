"""Which members the next message tells about."""

from collections.abc import Set as AbstractSet

import attrs


@attrs.define(kw_only=True)
class GossipQueue:
    """Names of members whose record changed, with how often it was told."""

    _told: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Count the members that are still told about."""
        return len(self._told)

    def add(self, name: str) -> None:
        """Tell about `name` from now on, as a fresh change."""
        self._told[name] = 0

    def agree(self, names: AbstractSet[str], weight: int, most: int) -> None:
        """Count changes that another daemon evidently knows as told.

        Args:
            names: of the members it agrees on.
            weight: how many tellings one agreement counts for.
            most: after how many tellings a name is dropped.
        """
        for name in tuple(names & self._told.keys()):
            self._told[name] += weight
            if self._told[name] >= most:
                self._told.pop(name)

    def agree_on_all(self, weight: int, most: int) -> None:
        """Count all changes so, after meeting a daemon with an equal table."""
        self.agree(self._told.keys(), weight, most)

    def take(
        self,
        limit: int,
        tellings: int,
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
        unknown = self._told.keys() - known
        names = sorted(unknown, key=lambda name: (self._told[name], name))
        names = names[:limit]
        for name in names:
            self._told[name] += 1
            if self._told[name] >= tellings:
                self._told.pop(name)
        return tuple(names)
