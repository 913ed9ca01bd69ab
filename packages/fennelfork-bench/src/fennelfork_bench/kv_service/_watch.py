"""Watches of the key-value stand-in."""

from collections import deque
from typing import Final

import attrs

from fennelfork_bench.kv_service._messages import KeySpan
from fennelfork_bench.kv_service._replies import Event
from fennelfork_bench.kv_service._store import KeyValueStore

_PENDING: Final = 10_000


@attrs.define(kw_only=True, eq=False)
class Watch:
    """One waiting watch and the changes it has not sent yet.

    Attributes:
        span: the keys that it is about.
        ended: whether its connection is to be cut.
        pending: the changes of each transaction that it has not sent.
    """

    span: KeySpan
    ended: bool = False
    pending: deque[tuple[Event, ...]] = attrs.field(
        factory=lambda: deque(maxlen=_PENDING),
    )

    def offer(self, events: tuple[Event, ...]) -> None:
        """Keep those of the changes that lie in the span."""
        matching = tuple(
            event for event in events if self.span.holds(event.entry.key)
        )
        if matching:
            self.pending.append(matching)


@attrs.define(kw_only=True)
class WatchHub:
    """Every waiting watch."""

    _store: KeyValueStore
    _watches: set[Watch] = attrs.field(factory=set)

    @property
    def waiting(self) -> int:
        """How many watches wait."""
        return len(self._watches)

    def open(self, span: KeySpan, start_revision: int) -> Watch:
        """Start a watch; a `start_revision` of 0 means from now on."""
        watch = Watch(span=span)
        if start_revision:
            watch.offer(tuple(self._store.since(start_revision)))
        self._watches.add(watch)
        return watch

    def close(self, watch: Watch) -> None:
        """Forget a watch."""
        self._watches.discard(watch)

    def end_all(self) -> None:
        """Have the connection of every watch cut."""
        for watch in self._watches:
            watch.ended = True

    def publish(self, events: tuple[Event, ...]) -> None:
        """Offer the changes of one transaction to every watch."""
        for watch in self._watches:
            watch.offer(events)
