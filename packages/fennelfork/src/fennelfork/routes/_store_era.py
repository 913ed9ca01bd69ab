"""Eras of the platform's store."""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class EraChange:
    """The store began another era.

    Attributes:
        previous: era that ended.
        current: era that began.
    """

    previous: int
    current: int


@attrs.frozen(kw_only=True)
class StorePosition:
    """Point in the history of the store up to which updates are known.

    Attributes:
        revision: latest known revision.
        era: era of the revision, None if the store states none.
    """

    revision: int
    era: int | None = None


@attrs.define(kw_only=True)
class StoreEra:
    """Era of the store, as stated by its responses.

    A store that is restored from a backup begins another era. It gives out
    revisions and lease numbers again, so those of another era mean nothing.
    """

    _number: int | None = None
    _listeners: list[Callable[[EraChange], None]] = attrs.field(factory=list)

    @property
    def number(self) -> int | None:
        """Current era, None if no response has stated it."""
        return self._number

    def add_listener(self, on_change: Callable[[EraChange], None]) -> None:
        """Add a function to call when the store begins another era."""
        self._listeners.append(on_change)

    def accept(self, sent_in: int | None, answered_in: int | None) -> bool:
        """Record the era of a response and return whether the response counts.

        A response counts if the era did not change during the call. The call
        may refer to a revision or a lease of the era in which it was sent.

        Args:
            sent_in: era that was current when the call was sent.
            answered_in: era that the response states, None if it states none.
        """
        if sent_in is not None and sent_in != self._number:
            return False
        if answered_in is None or answered_in == self._number:
            return True
        previous = self._number
        self._number = answered_in
        if previous is None:
            return True
        change = EraChange(previous=previous, current=answered_in)
        for on_change in self._listeners:
            on_change(change)
        return False
