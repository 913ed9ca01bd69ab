"""Leases of the key-value stand-in."""

import attrs

from fennelfork import Clock
from fennelfork_bench.kv_service._messages import Delete, KeySpan, Transaction
from fennelfork_bench.kv_service._store import KeyValueStore

_MS_PER_S = 1000
_FIRST_LEASE = 7_587_000


@attrs.frozen(kw_only=True)
class Lease:
    """A granted lease.

    Attributes:
        number: names the lease.
        ttl_s: seconds granted, and again by each keepalive.
        expires_ms: when it lapses, on the clock of the stand-in.
    """

    number: int
    ttl_s: int
    expires_ms: float


@attrs.define(kw_only=True)
class Leases:
    """Every lease in force; keys under a lapsed one are deleted."""

    _clock: Clock
    _store: KeyValueStore
    _held: dict[int, Lease] = attrs.field(factory=dict)
    _next: int = _FIRST_LEASE

    def grant(self, ttl_s: int, number: int = 0) -> Lease:
        """Grant a lease; a `number` of 0 lets the stand-in choose one."""
        self._next += 1
        lease = self._fresh(number or self._next, ttl_s)
        self._held[lease.number] = lease
        return lease

    def keep_alive(self, number: int) -> Lease | None:
        """Renew a lease; none if it has lapsed or never was."""
        lease = self.find(number)
        if lease is None:
            return None
        renewed = self._fresh(number, lease.ttl_s)
        self._held[number] = renewed
        return renewed

    def find(self, number: int) -> Lease | None:
        """Give the lease if it is in force."""
        self.expire()
        return self._held.get(number)

    def revoke(self, number: int) -> bool:
        """End a lease and delete its keys; false if there is none."""
        if self._held.pop(number, None) is None:
            return False
        spans = [
            KeySpan(key=entry.key) for entry in self._store.under_lease(number)
        ]
        deletes = tuple(Delete(span=span) for span in spans)
        self._store.commit(
            Transaction(compares=(), success=deletes, failure=()),
        )
        return True

    def expire(self) -> None:
        """End each lease whose time has passed."""
        now_ms = self._clock.now_ms()
        for lease in list(self._held.values()):
            if lease.expires_ms <= now_ms:
                self.revoke(lease.number)

    def lapse_all(self) -> int:
        """End every lease before its time; a fault.

        Returns:
            How many were in force.
        """
        numbers = list(self._held)
        for number in numbers:
            self.revoke(number)
        return len(numbers)

    def _fresh(self, number: int, ttl_s: int) -> Lease:
        now_ms = self._clock.now_ms()
        return Lease(
            number=number,
            ttl_s=ttl_s,
            expires_ms=now_ms + ttl_s * _MS_PER_S,
        )
