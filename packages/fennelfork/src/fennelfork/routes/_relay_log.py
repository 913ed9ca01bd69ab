"""Recent updates of the store that a daemon passes on to other daemons."""

from collections import deque
from collections.abc import Iterable
from typing import Final

import attrs

# Bounds the memory. Daemons that ask for dropped updates read the store.
_MAX_CHARACTERS: Final = 1_000_000


@attrs.frozen(kw_only=True)
class EncodedUpdate:
    """Update of one entry, as encoded by the store.

    Attributes:
        revision: revision of the store that the update created.
        text: update in the format of the store.
    """

    revision: int
    text: str


@attrs.define(kw_only=True)
class RelayLog:
    """Consecutive updates up to the latest known revision of the store.

    Attributes:
        revision: revision up to which all updates are known.
    """

    revision: int = 0
    _oldest: int = 0
    _updates: deque[EncodedUpdate] = attrs.field(factory=deque)
    _characters: int = 0

    def reset(self, revision: int) -> None:
        """Discard all updates and continue from a revision."""
        self.revision = revision
        self._oldest = revision
        self._updates.clear()
        self._characters = 0

    def extend(self, updates: Iterable[EncodedUpdate], revision: int) -> None:
        """Append the updates between the latest revision and a later one."""
        for update in updates:
            self._updates.append(update)
            self._characters += len(update.text)
        self.revision = revision
        while self._characters > _MAX_CHARACTERS:
            dropped = self._updates.popleft()
            self._characters -= len(dropped.text)
            self._oldest = dropped.revision

    def since(self, revision: int) -> tuple[EncodedUpdate, ...] | None:
        """Return the updates after a revision, or None if some are unknown."""
        if revision < self._oldest:
            return None
        return tuple(
            update for update in self._updates if update.revision > revision
        )
