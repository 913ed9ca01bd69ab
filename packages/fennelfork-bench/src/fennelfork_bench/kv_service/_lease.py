"""Leases of the key-value stand-in."""

import attrs

from fennelfork import Clock
from fennelfork_bench.kv_service._messages import Delete, KeyRange, Transaction
from fennelfork_bench.kv_service._store import KeyValueStore

_MS_PER_S = 1000
_INITIAL_LEASE_ID = 7_587_000


@attrs.frozen(kw_only=True)
class Lease:
    """Lease that a client has been granted.

    Attributes:
        lease_id: identifier of the lease.
        ttl_s: time to live after the grant and after each keepalive.
        expires_ms: expiry time on the clock of the stand-in.
    """

    lease_id: int
    ttl_s: int
    expires_ms: float


@attrs.define(kw_only=True)
class Leases:
    """Active leases; revoking a lease deletes the keys attached to the lease."""

    _clock: Clock
    _store: KeyValueStore
    _active: dict[int, Lease] = attrs.field(factory=dict)
    _last_id: int = _INITIAL_LEASE_ID

    def grant(self, ttl_s: int, lease_id: int = 0) -> Lease:
        """Grant a lease; a `lease_id` of 0 makes the stand-in choose an ID."""
        self._last_id += 1
        lease = self._build_lease(lease_id or self._last_id, ttl_s)
        self._active[lease.lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int) -> Lease | None:
        """Renew a lease; return `None` if the lease is not active."""
        lease = self.find_active(lease_id)
        if lease is None:
            return None
        renewed = self._build_lease(lease_id, lease.ttl_s)
        self._active[lease_id] = renewed
        return renewed

    def find_active(self, lease_id: int) -> Lease | None:
        """Return an active lease, or `None` if the lease is not active."""
        self.revoke_expired()
        return self._active.get(lease_id)

    def revoke(self, lease_id: int) -> bool:
        """Revoke a lease and its keys; return whether the lease was active."""
        if self._active.pop(lease_id, None) is None:
            return False
        key_ranges = [
            KeyRange(key=entry.key)
            for entry in self._store.list_lease_entries(lease_id)
        ]
        deletes = tuple(Delete(key_range=key_range) for key_range in key_ranges)
        self._store.commit(
            Transaction(compares=(), success=deletes, failure=()),
        )
        return True

    def revoke_expired(self) -> None:
        """Revoke each lease that has expired."""
        now_ms = self._clock.now_ms()
        for lease in list(self._active.values()):
            if lease.expires_ms <= now_ms:
                self.revoke(lease.lease_id)

    def revoke_all(self) -> int:
        """Revoke every lease before expiry, as an injected fault.

        Returns:
            Number of leases that were active.
        """
        lease_ids = list(self._active)
        for lease_id in lease_ids:
            self.revoke(lease_id)
        return len(lease_ids)

    def _build_lease(self, lease_id: int, ttl_s: int) -> Lease:
        now_ms = self._clock.now_ms()
        return Lease(
            lease_id=lease_id,
            ttl_s=ttl_s,
            expires_ms=now_ms + ttl_s * _MS_PER_S,
        )
