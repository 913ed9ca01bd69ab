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
