"""Keys, revisions and event history of the key-value stand-in."""

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
    KeyRange,
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

_MAX_HISTORY_EVENTS: Final = 10_000
_COMPARATORS: Final = {
    CompareResult.EQUAL: operator.eq,
    CompareResult.GREATER: operator.gt,
    CompareResult.LESS: operator.lt,
    CompareResult.NOT_EQUAL: operator.ne,
}
_COMPARED_ATTRIBUTES: Final = {
    CompareTarget.VERSION: 'version',
    CompareTarget.CREATE: 'create_revision',
    CompareTarget.MOD: 'mod_revision',
    CompareTarget.VALUE: 'value',
    CompareTarget.LEASE: 'lease',
}


@attrs.frozen(kw_only=True)
class Backup:
    """Copy of all keys at one revision."""

    revision: int
    entries: dict[bytes, KeyValue]


EMPTY_BACKUP: Final = Backup(revision=1, entries={})


@attrs.define(kw_only=True)
class KeyValueStore:
    """In-memory store with the revision semantics of etcd.

    Attributes:
        revision: number that each writing transaction increments.
        compacted_revision: last revision whose events are discarded.
        on_events: callback for the events of each transaction.
    """

    revision: int = 1
    compacted_revision: int = 0
    on_events: Callable[[tuple[Event, ...]], None] = lambda events: None
    _entries: dict[bytes, KeyValue] = attrs.field(factory=dict)
    _history: deque[Event] = attrs.field(factory=deque)

    def commit(self, transaction: Transaction) -> TransactionReply:
        """Run the branch of a transaction that its comparisons select.

        Args:
            transaction: transaction with its comparisons and both branches.

        Returns:
            Result of the comparisons and the replies to the operations.
        """
        succeeded = all(
            self._is_satisfied(compare) for compare in transaction.compares
        )
        branch = transaction.success if succeeded else transaction.failure
        events: list[Event] = []
        replies = tuple(apply_operation(each, self, events) for each in branch)
        if events:
            self._publish(tuple(events))
        return TransactionReply(succeeded=succeeded, replies=replies)

    def list_entries(self, key_range: KeyRange) -> list[KeyValue]:
        """Return the entries of a key range in the order of their keys."""
        if not key_range.range_end:
            entry = self._entries.get(key_range.key)
            return [] if entry is None else [entry]
        return [
            self._entries[key]
            for key in sorted(self._entries)
            if key_range.contains(key)
        ]

    def list_lease_entries(self, lease: int) -> list[KeyValue]:
        """Return the entries that are attached to a lease."""
        return [each for each in self._entries.values() if each.lease == lease]

    def list_events_since(self, revision: int) -> list[Event]:
        """Return the retained events from `revision` on, oldest first."""
        return [
            event
            for event in self._history
            if event.entry.mod_revision >= revision
        ]

    def store_entry(self, entry: KeyValue) -> None:
        """Store an entry without changing its revisions."""
        self._entries[entry.key] = entry

    def delete_entry(self, key: bytes) -> None:
        """Delete the entry of a key."""
        self._entries.pop(key)

    def create_backup(self) -> Backup:
        """Return a backup of all entries."""
        return Backup(revision=self.revision, entries=dict(self._entries))

    def restore(self, backup: Backup) -> None:
        """Restore a backup and discard all later changes and the history."""
        self.revision = backup.revision
        self.compacted_revision = backup.revision
        self._entries = dict(backup.entries)
        self._history.clear()

    def _is_satisfied(self, compare: Compare) -> bool:
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
        property_value = getattr(
            found or missing, _COMPARED_ATTRIBUTES[compare.target]
        )
        return bool(
            _COMPARATORS[compare.result](property_value, compare.operand)
        )

    def _publish(self, events: tuple[Event, ...]) -> None:
        self.revision += 1
        self._history.extend(events)
        while len(self._history) > _MAX_HISTORY_EVENTS:
            self.compacted_revision = self._history.popleft().entry.mod_revision
        self.on_events(events)


@singledispatch
def apply_operation(
    operation: Operation,
    store: KeyValueStore,
    events: list[Event],
) -> Reply:
    """Run one operation of a transaction on the store.

    Args:
        operation: operation to run.
        store: store that the operation reads or changes.
        events: list to which the events of the operation are appended.

    Raises:
        TypeError: if the type of the operation is not supported.
    """
    raise TypeError(f'the operation {operation!r} is not of a supported type')


@apply_operation.register
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
    for previous in store.list_entries(KeyRange(key=operation.key)):
        entry = attrs.evolve(
            entry,
            create_revision=previous.create_revision,
            version=previous.version + 1,
        )
    store.store_entry(entry)
    events.append(Event(entry=entry))
    return PutReply()


@apply_operation.register
def _range(
    operation: Range,
    store: KeyValueStore,
    events: list[Event],
) -> Reply:
    found = store.list_entries(operation.key_range)
    returned = found[: operation.limit] if operation.limit else found
    if operation.keys_only:
        returned = [attrs.evolve(entry, value=b'') for entry in returned]
    return RangeReply(entries=tuple(returned), count=len(found))


@apply_operation.register
def _delete(
    operation: Delete,
    store: KeyValueStore,
    events: list[Event],
) -> Reply:
    found = store.list_entries(operation.key_range)
    revision = store.revision + 1
    for entry in found:
        store.delete_entry(entry.key)
        events.append(Event(entry=_tombstone(entry.key, revision)))
    return DeleteReply(deleted=len(found))


def _tombstone(key: bytes, revision: int) -> KeyValue:
    return KeyValue(
        key=key,
        value=b'',
        create_revision=0,
        mod_revision=revision,
        version=0,
    )
