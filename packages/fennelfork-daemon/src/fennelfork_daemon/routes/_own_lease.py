"""Lease of the registration of this daemon."""

from typing import Final, TypeVar

import attrs
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Clock, Failure
from fennelfork.membership import Member
from fennelfork_daemon.routes._availability import StoreAvailability, StoreCall
from fennelfork_daemon.routes._lease_proof import LeaseProof
from fennelfork_daemon.routes._ports import Store
from fennelfork_daemon.routes._store_reporter import StoreReporter

# Bounds how long callers are directed to a daemon that has crashed. A caller
# connects to the crashed daemon once in vain and then uses another daemon.
_LEASE_TTL_MS: Final = 3000.0

_ResultT = TypeVar('_ResultT')


@attrs.define(kw_only=True)
class OwnLease:
    """Opens and renews the lease of the registration of this daemon.

    Attributes:
        number: the lease of the registration, or None if not registered.
        failures: number of failed calls since the last response.
    """

    number: int | None = None
    failures: int = 0
    _store: Store
    _min_ttl_ms: float
    _availability: StoreAvailability
    _clock: Clock
    _reporter: StoreReporter
    _proof: LeaseProof
    _sent_ms: float = 0
    _renewed_ms: float = 0

    @property
    def ttl_ms(self) -> float:
        """Time after which the lease expires without a renewal."""
        return max(self._min_ttl_ms, _LEASE_TTL_MS)

    def open(self) -> int | None:
        """Open a lease and return its number, or None if this failed."""
        self._sent_ms = self._clock.now_ms()
        opened = self._record_result(self._store.open_lease(self.ttl_ms))
        return opened.unwrap() if is_successful(opened) else None

    def hold(self, lease: int) -> None:
        """Use a lease, to which the entry is now attached."""
        self.number = lease
        self._renewed_ms = self._clock.now_ms()
        self._proof.record_granted(self._sent_ms, self.ttl_ms)
        self._reporter.lease_granted(lease, self.ttl_ms)

    def try_adopt(self, lease: int, held_ms: float) -> Result[bool, Failure]:
        """Renew and use the lease of the earlier process of this daemon.

        Args:
            lease: lease of the entry of the earlier process.
            held_ms: time for which the earlier process has been registered.

        Returns:
            Whether the lease was still valid, or the failure of the call.
        """
        sent_ms = self._clock.now_ms()
        renewed = self._record_result(self._store.renew(lease))
        if is_successful(renewed) and renewed.unwrap():
            self.number = lease
            self._renewed_ms = self._clock.now_ms()
            self._proof.record_granted(sent_ms, self.ttl_ms, held_ms=held_ms)
            self._reporter.lease_adopted(lease)
        return renewed

    def renew(self, lease: int) -> bool:
        """Renew the lease in use and return whether it may still be valid."""
        sent_ms = self._clock.now_ms()
        renewed = self._record_result(self._store.renew(lease))
        if not is_successful(renewed):
            return self.number == lease
        now_ms = self._clock.now_ms()
        if renewed.unwrap():
            self._renewed_ms = now_ms
            self._proof.record_renewed(sent_ms)
            return True
        self.number = None
        self._proof.record_lost()
        self._reporter.lease_expired(lease, now_ms - self._renewed_ms)
        return False

    def discard(self) -> None:
        """Stop using the lease, which may belong to another daemon now."""
        self.number = None
        self._proof.record_lost()

    def write_entry(self, entry: Member, lease: int) -> bool:
        """Write the entry of this daemon and return whether this succeeded."""
        written = self._record_result(self._store.register(entry, lease))
        return is_successful(written) and written.unwrap()

    def revoke(self) -> None:
        """Remove the registration, if there is one."""
        if self.number is not None:
            self._store.revoke_lease(self.number)

    def _record_result(
        self, result: Result[_ResultT, Failure]
    ) -> Result[_ResultT, Failure]:
        if is_successful(result):
            self.failures = 0
            self._availability.record_response()
        else:
            self.failures += 1
            self._availability.record_failure(StoreCall.LEASE, result.failure())
        return result
