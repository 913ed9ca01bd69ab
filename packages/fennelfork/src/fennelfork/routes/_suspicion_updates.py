"""Unpublished changes of suspicions of poison requests."""

from collections.abc import Callable

import attrs

from fennelfork.routes._suspicion import SuspicionRecord


@attrs.frozen(kw_only=True)
class SuspicionUpdates:
    """Batch of changed suspicions to publish to the store.

    Attributes:
        records: records of requests whose suspicion changed.
        removed: fingerprints of requests whose entries are to be removed.
    """

    records: tuple[SuspicionRecord, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Whether the batch contains any change."""
        return bool(self.records or self.removed)


@attrs.define(kw_only=True)
class PendingUpdates:
    """Fingerprints of the requests whose changes wait for publication."""

    _changed: dict[str, None] = attrs.field(factory=dict)
    _removed: dict[str, None] = attrs.field(factory=dict)

    @property
    def changed(self) -> tuple[str, ...]:
        """Fingerprints of the requests whose suspicion changed."""
        return tuple(self._changed)

    def mark_changed(self, fingerprint: str) -> None:
        """Queue the suspicion record of a request for publication."""
        self._removed.pop(fingerprint, None)
        self._changed[fingerprint] = None

    def mark_removed(self, fingerprint: str) -> None:
        """Queue the removal of the store entry of a request."""
        self._changed.pop(fingerprint, None)
        self._removed[fingerprint] = None

    def discard(self, fingerprint: str) -> None:
        """Discard the pending change of a request."""
        self._changed.pop(fingerprint, None)
        self._removed.pop(fingerprint, None)

    def take_all(
        self,
        record_of: Callable[[str], SuspicionRecord],
    ) -> SuspicionUpdates:
        """Return all pending changes and clear the queue.

        Args:
            record_of: function that returns the record of a fingerprint.
        """
        updates = SuspicionUpdates(
            records=tuple(map(record_of, self._changed)),
            removed=tuple(self._removed),
        )
        self._changed.clear()
        self._removed.clear()
        return updates
