"""Watches of the key-value stand-in."""

from collections import deque
from typing import Final

import attrs

from fennelfork_bench.kv_service._messages import KeyRange
from fennelfork_bench.kv_service._replies import Event
from fennelfork_bench.kv_service._store import KeyValueStore

_MAX_PENDING_TRANSACTIONS: Final = 10_000


@attrs.define(kw_only=True, eq=False)
class Watch:
    """Open watch with the events that are not yet sent.

    Attributes:
        key_range: range of keys whose events the watch reports.
        is_cancelled: whether the connection of the watch must be closed.
        pending: events that are not yet sent, grouped by transaction.
    """

    key_range: KeyRange
    is_cancelled: bool = False
    pending: deque[tuple[Event, ...]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_PENDING_TRANSACTIONS),
    )

    def enqueue_matching(self, events: tuple[Event, ...]) -> None:
        """Queue the events whose keys lie in the range."""
        matching = tuple(
            event
            for event in events
            if self.key_range.contains(event.entry.key)
        )
        if matching:
            self.pending.append(matching)


@attrs.define(kw_only=True)
class WatchHub:
    """Registry of all open watches."""

    _store: KeyValueStore
    _watches: set[Watch] = attrs.field(factory=set)

    @property
    def watch_count(self) -> int:
        """Number of open watches."""
        return len(self._watches)

    def open(self, key_range: KeyRange, start_revision: int) -> Watch:
        """Open a watch; a `start_revision` of 0 reports only later events."""
        watch = Watch(key_range=key_range)
        if start_revision:
            watch.enqueue_matching(
                tuple(self._store.list_events_since(start_revision))
            )
        self._watches.add(watch)
        return watch

    def close(self, watch: Watch) -> None:
        """Remove a watch."""
        self._watches.discard(watch)

    def cancel_all(self) -> None:
        """Cancel every watch, which closes its connection."""
        for watch in self._watches:
            watch.is_cancelled = True

    def publish(self, events: tuple[Event, ...]) -> None:
        """Queue the events of one transaction at every matching watch."""
        for watch in self._watches:
            watch.enqueue_matching(events)
