"""State of the key-value stand-in: keys, revisions and recent changes."""

import operator
from collections import deque
from collections.abc import Callable
from functools import singledispatch
from typing import Final

import attrs

from fennelfork_bench.kv_service._messages import (
    Compare,
    CompareResult,
    CompareTarget,
    Delete,
    KeySpan,
    KeyValue,
    Operation,
    Put,
    Range,
    Transaction,
)
from fennelfork_bench.kv_service._replies import (
    DeleteReply,
    Event,
    PutReply,
    RangeReply,
    Reply,
    TransactionReply,
)

_HISTORY: Final = 10_000
_RELATIONS: Final = {
    CompareResult.EQUAL: operator.eq,
    CompareResult.GREATER: operator.gt,
    CompareResult.LESS: operator.lt,
    CompareResult.NOT_EQUAL: operator.ne,
}
_PROPERTIES: Final = {
    CompareTarget.VERSION: 'version',
    CompareTarget.CREATE: 'create_revision',
    CompareTarget.MOD: 'mod_revision',
    CompareTarget.VALUE: 'value',
    CompareTarget.LEASE: 'lease',
}


@attrs.frozen(kw_only=True)
class Backup:
    """All keys as they were at one revision."""

    revision: int
    entries: dict[bytes, KeyValue]


EMPTY: Final = Backup(revision=1, entries={})


@attrs.define(kw_only=True)
class KeyValueStore:
    """Keys with etcd's revisions; one writer at a time, no I/O.

    Attributes:
        revision: rises by one with each transaction that writes.
        compacted: changes at or before this revision are forgotten.
        on_events: called with the changes of each transaction.
    """

    revision: int = 1
    compacted: int = 0
    on_events: Callable[[tuple[Event, ...]], None] = lambda events: None
    _entries: dict[bytes, KeyValue] = attrs.field(factory=dict)
    _history: deque[Event] = attrs.field(factory=deque)

    def commit(self, transaction: Transaction) -> TransactionReply:
        """Run one transaction at once, or its other branch.

        Args:
            transaction: comparisons and both branches.

        Returns:
            Which branch ran and the replies of its operations.
        """
        succeeded = all(self._holds(cond) for cond in transaction.compares)
        branch = transaction.success if succeeded else transaction.failure
        events: list[Event] = []
        replies = tuple(apply(each, self, events) for each in branch)
        if events:
            self._publish(tuple(events))
        return TransactionReply(succeeded=succeeded, replies=replies)

    def find(self, span: KeySpan) -> list[KeyValue]:
        """List the entries of a span in order of their keys."""
        if not span.range_end:
            entry = self._entries.get(span.key)
            return [] if entry is None else [entry]
        return [
            self._entries[key]
            for key in sorted(self._entries)
            if span.holds(key)
        ]

    def under_lease(self, lease: int) -> list[KeyValue]:
        """List the entries attached to a lease."""
        return [each for each in self._entries.values() if each.lease == lease]

    def since(self, revision: int) -> list[Event]:
        """List the remembered changes from `revision` on, oldest first."""
        return [
            event
            for event in self._history
            if event.entry.mod_revision >= revision
        ]

    def write(self, entry: KeyValue) -> None:
        """Store an entry as it is."""
        self._entries[entry.key] = entry

    def remove(self, key: bytes) -> None:
        """Drop a key."""
        self._entries.pop(key)

    def backup(self) -> Backup:
        """Copy all keys."""
        return Backup(revision=self.revision, entries=dict(self._entries))

    def restore(self, backup: Backup) -> None:
        """Go back to a backup; what came after it is lost without a trace."""
        self.revision = backup.revision
        self.compacted = backup.revision
        self._entries = dict(backup.entries)
        self._history.clear()

    def _holds(self, compare: Compare) -> bool:
        missing = KeyValue(
            key=compare.key,
            value=b'',
            create_revision=0,
            mod_revision=0,
            version=0,
        )
        found = self._entries.get(compare.key)
        if found is None and compare.target is CompareTarget.VALUE:
            return False
        actual = getattr(found or missing, _PROPERTIES[compare.target])
        return bool(_RELATIONS[compare.result](actual, compare.operand))

    def _publish(self, events: tuple[Event, ...]) -> None:
        self.revision += 1
        self._history.extend(events)
        while len(self._history) > _HISTORY:
            self.compacted = self._history.popleft().entry.mod_revision
        self.on_events(events)


@singledispatch
def apply(
    operation: Operation,
    store: KeyValueStore,
    events: list[Event],
) -> Reply:
    """Run one operation of a transaction on the store.

    Args:
        operation: what to do.
        store: where.
        events: takes the changes made.

    Raises:
        TypeError: if the operation is of an unknown kind.
    """
    raise TypeError(f'not an operation: {operation!r}')


@apply.register
def _put(operation: Put, store: KeyValueStore, events: list[Event]) -> Reply:
    revision = store.revision + 1
    entry = KeyValue(
        key=operation.key,
        value=operation.value,
        create_revision=revision,
        mod_revision=revision,
        version=1,
        lease=operation.lease,
    )
    for earlier in store.find(KeySpan(key=operation.key)):
        entry = attrs.evolve(
            entry,
            create_revision=earlier.create_revision,
            version=earlier.version + 1,
        )
    store.write(entry)
    events.append(Event(entry=entry))
    return PutReply()


@apply.register
def _range(
    operation: Range,
    store: KeyValueStore,
    events: list[Event],
) -> Reply:
    found = store.find(operation.span)
    shown = found[: operation.limit] if operation.limit else found
    if operation.keys_only:
        shown = [attrs.evolve(entry, value=b'') for entry in shown]
    return RangeReply(found=tuple(shown), count=len(found))


@apply.register
def _delete(
    operation: Delete,
    store: KeyValueStore,
    events: list[Event],
) -> Reply:
    found = store.find(operation.span)
    revision = store.revision + 1
    for entry in found:
        store.remove(entry.key)
        events.append(Event(entry=_gone(entry.key, revision)))
    return DeleteReply(deleted=len(found))


def _gone(key: bytes, revision: int) -> KeyValue:
    return KeyValue(
        key=key,
        value=b'',
        create_revision=0,
        mod_revision=revision,
        version=0,
    )
