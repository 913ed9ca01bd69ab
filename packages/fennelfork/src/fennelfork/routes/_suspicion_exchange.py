"""Synchronisation of suspected poison requests through the store."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._suspicion import (
    RequestStatus,
    Suspicion,
    SuspicionRecord,
)
from fennelfork.routes._suspicion_table import (
    TRANSIENT_TTL_MS,
    SuspicionTable,
)
from fennelfork.routes._suspicion_updates import (
    PendingUpdates,
    SuspicionUpdates,
)

# Stands for a request that the table no longer contains.
_NO_SUSPICION: Final = Suspicion(status=RequestStatus.RELEASED)


@attrs.frozen(kw_only=True)
class SuspicionExchange:
    """Synchronises the suspected poison requests of a daemon with the store.

    Attributes:
        table: poison requests that this daemon suspects.
    """

    table: SuspicionTable
    _clock: Clock
    _pending: PendingUpdates

    @property
    def records(self) -> tuple[SuspicionRecord, ...]:
        """Records of all requests that this daemon suspects."""
        return tuple(map(self.record_of, self.table))

    @property
    def has_durable_changes(self) -> bool:
        """Whether a change of a durable suspicion awaits publication."""
        return any(
            self.table[changed].is_durable for changed in self._pending.changed
        )

    def record_of(self, fingerprint: str) -> SuspicionRecord:
        """Return the suspicion record of a request for other daemons."""
        known = self.table.find(fingerprint) or _NO_SUSPICION
        return known.to_record(fingerprint)

    def publish(self, fingerprint: str) -> None:
        """Queue the suspicion record of a request for publication."""
        self.table[fingerprint].is_own = True
        self._pending.mark_changed(fingerprint)

    def remove(self, fingerprint: str) -> None:
        """Remove a suspicion, and queue the removal from the store."""
        self._queue_removal(fingerprint, self.table.pop(fingerprint))

    def take_updates(self, max_transient: int) -> SuspicionUpdates:
        """Return the changed suspicions to publish and clear the queue.

        Args:
            max_transient: maximum number of suspicions without an isolated
                crash to publish; the remaining ones are not published.
        """
        for fingerprint, known in self.table.evict_suspicions():
            self._queue_removal(fingerprint, known)
        transient = [
            changed
            for changed in self._pending.changed
            if not self.table[changed].is_durable
        ]
        for unpublished in transient[max_transient:]:
            self.table[unpublished].is_own = False
            self._pending.discard(unpublished)
        return self._pending.take_all(self.record_of)

    def requeue(self, updates: SuspicionUpdates) -> None:
        """Queue changes of suspicions again that the store did not accept."""
        for record in updates.records:
            if record.fingerprint in self.table:
                self.publish(record.fingerprint)
        for fingerprint in updates.removed:
            if fingerprint not in self.table:
                self._pending.mark_removed(fingerprint)

    def apply_record(
        self, record: SuspicionRecord, revision: int
    ) -> RequestStatus | None:
        """Merge a record from the store into the table.

        Args:
            record: record in the store.
            revision: revision of the entry in the store.

        Returns:
            The new status of the request, or none if it did not change.
        """
        known = self.table.find(record.fingerprint)
        if known is not None and known.stored == (record, revision):
            return None
        before = known.status if known else None
        if known is None or RequestStatus.RELEASED in {
            before,
            record.status,
        }:
            # The last write wins when either side is released.
            known = self.table.create(record.fingerprint)
            self._pending.discard(record.fingerprint)
        known.apply_record(record, revision, self._clock.now_ms())
        self._resolve_conflict(known, record)
        return None if known.status is before else known.status

    def discard(self, fingerprint: str) -> bool:
        """Remove a suspicion whose entry was removed from the store.

        Returns:
            Whether the table contained the suspicion.
        """
        self._pending.discard(fingerprint)
        return fingerprint in self.table and bool(
            self.table.pop(fingerprint),
        )

    def reconcile(
        self,
        fingerprints: Iterable[str],
        last_update_age_ms: float,
    ) -> None:
        """Reconcile the table with a listing of the store.

        An entry that is missing from the listing was either removed while
        this daemon received no updates, or lost by a store that was restored
        from a backup. The store keeps a release for ten minutes, so a durable
        or own suspicion is published again if the last update is younger.

        Args:
            fingerprints: fingerprints of the entries in the store.
            last_update_age_ms: time since the last update from the store.
        """
        for fingerprint in set(self.table) - set(fingerprints):
            known = self.table[fingerprint]
            if last_update_age_ms >= TRANSIENT_TTL_MS or not (
                known.is_own or known.is_durable
            ):
                self.discard(fingerprint)
            else:
                known.stored = None
                self.publish(fingerprint)

    def _resolve_conflict(
        self,
        known: Suspicion,
        stored: SuspicionRecord,
    ) -> None:
        """Publish a suspicion again if another daemon overwrote the record."""
        if known.to_record(stored.fingerprint) == stored:
            self._pending.discard(stored.fingerprint)
        elif known.is_own and known.status is not stored.status:
            self.publish(stored.fingerprint)

    def _queue_removal(self, fingerprint: str, known: Suspicion) -> None:
        """Queue the removal of a store entry that this daemon may remove."""
        self._pending.discard(fingerprint)
        if known.is_own or known.is_durable:
            self._pending.mark_removed(fingerprint)
