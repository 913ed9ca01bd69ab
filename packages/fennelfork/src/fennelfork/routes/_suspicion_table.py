"""Bounded table of suspected poison requests, with expiry."""

from collections.abc import Iterator
from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._suspicion import RequestStatus, Suspicion

# An entry takes about a kilobyte in a daemon and in the store.
_MAX_ENTRIES: Final = 256
_MINUTE_MS: Final = 60_000.0
# Covers requests that met a crash by coincidence and are never sent again, and
# released requests until every daemon has received the release.
_TRANSIENT_TTL_MINUTES: Final = 10
TRANSIENT_TTL_MS: Final = _TRANSIENT_TTL_MINUTES * _MINUTE_MS
# Covers the time for which a caller may repeat a poison request.
_DURABLE_TTL_MINUTES: Final = 1440
_DURABLE_TTL_MS: Final = _DURABLE_TTL_MINUTES * _MINUTE_MS


@attrs.frozen(kw_only=True)
class SuspicionTable:
    """Suspected poison requests by fingerprint, bounded in number."""

    _clock: Clock
    _wall: Clock
    _known: dict[str, Suspicion] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[str]:
        """Iterate over all fingerprints, the oldest first."""
        return iter(tuple(self._known))

    def __contains__(self, fingerprint: str) -> bool:
        """Whether the table has a suspicion for a fingerprint."""
        return fingerprint in self._known

    def __getitem__(self, fingerprint: str) -> Suspicion:
        """Return the suspicion for a fingerprint.

        Raises:
            KeyError: if the table has no suspicion for the fingerprint.
        """
        return self._known[fingerprint]

    def find(self, fingerprint: str) -> Suspicion | None:
        """Return the suspicion for a fingerprint, or none."""
        return self._known.get(fingerprint)

    def create(self, fingerprint: str) -> Suspicion:
        """Insert an empty suspicion; replace an existing suspicion."""
        now_ms = self._clock.now_ms()
        known = Suspicion(updated_ms=now_ms, status_since_ms=now_ms)
        self._known[fingerprint] = known
        return known

    def pop(self, fingerprint: str) -> Suspicion:
        """Remove and return the suspicion for a fingerprint.

        Raises:
            KeyError: if the table has no suspicion for the fingerprint.
        """
        return self._known.pop(fingerprint)

    def discard_revisions(self) -> None:
        """Discard what is known of the entries in the store.

        The store began another era. No attempt is claimed until the next
        listing.
        """
        for known in self._known.values():
            known.stored = None

    def evict_suspicions(self) -> list[tuple[str, Suspicion]]:
        """Remove and return expired and surplus suspicions of requests.

        Surplus suspicions are evicted in the order transient, durable,
        quarantined, and within each group from the oldest on.
        """
        expired = {
            fingerprint
            for fingerprint, known in self._known.items()
            if self._is_expired(known)
        }
        by_priority = sorted(self._known, key=self._priority_of)
        surplus = by_priority[: max(0, len(by_priority) - _MAX_ENTRIES)]
        return [(name, self.pop(name)) for name in expired.union(surplus)]

    def _is_expired(self, known: Suspicion) -> bool:
        if known.isolated_crashes:
            return self._wall.now_ms() - known.last_crash_ms > _DURABLE_TTL_MS
        return self._clock.now_ms() - known.updated_ms > TRANSIENT_TTL_MS

    def _priority_of(self, fingerprint: str) -> tuple[bool, bool]:
        known = self._known[fingerprint]
        return known.status is RequestStatus.QUARANTINED, known.is_durable


def suspicion_table(clock: Clock, wall: Clock) -> SuspicionTable:
    """Build an empty table of suspected poison requests.

    Args:
        clock: monotonic clock of the daemon.
        wall: wall clock, for times that outlive the daemon.
    """
    return SuspicionTable(clock=clock, wall=wall)
