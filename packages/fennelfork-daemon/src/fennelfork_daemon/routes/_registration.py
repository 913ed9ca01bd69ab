"""Registration of this daemon in the store while it is ready."""

from typing import Final, TypeVar

import attrs
import eventlet
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Clock, Failure
from fennelfork.membership import Member
from fennelfork_daemon.routes._availability import StoreAvailability, StoreCall
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._ports import Store
from fennelfork_daemon.routes._store_reporter import StoreReporter

_MS_PER_SECOND: Final = 1000
# Bounds how long callers are directed to a daemon that has crashed. A caller
# connects to the crashed daemon once in vain and then uses another daemon.
_LEASE_TTL_MS: Final = 3000.0
_RENEWAL_INTERVAL_MS: Final = 1400.0
# Delay after a failed renewal, so that the next renewal arrives before the lease
# expires.
_RETRY_INTERVAL_MS: Final = 300.0
# Bounds the delay between readiness and registration.
_POLL_INTERVAL_MS: Final = 50.0

_ResultT = TypeVar('_ResultT')


@attrs.define(kw_only=True)
class Registration:
    """Maintains the entry of this daemon in the store."""

    _store: Store
    _blackboard: RouteBlackboard
    _min_lease_ms: float
    _availability: StoreAvailability
    _clock: Clock
    _reporter: StoreReporter
    _renewed_ms: float = 0
    _lease: int | None = None
    _registered: Member | None = None
    _has_ended: bool = False

    @property
    def lease(self) -> int | None:
        """The lease of the registration, or None if not registered."""
        return self._lease

    @property
    def is_leave_announced(self) -> bool:
        """Whether the registration has been removed from the store."""
        return self._has_ended

    @property
    def delay_ms(self) -> float:
        """Delay in ms before the next step."""
        if not (self._blackboard.is_ready or self._blackboard.is_leaving):
            return _POLL_INTERVAL_MS
        if self._availability.is_available:
            return _RENEWAL_INTERVAL_MS
        return _RETRY_INTERVAL_MS

    def run(self) -> None:
        """Maintain the registration until the daemon leaves."""
        while not self._has_ended:
            self.step()
            eventlet.sleep(self.delay_ms / _MS_PER_SECOND)

    def step(self) -> None:
        """Renew the registration of this daemon, or create it."""
        if not self._blackboard.is_ready:
            return
        if self._lease is None:
            self._register()
        elif not self._renew(self._lease):
            self._register()
        elif self._registered != self._blackboard.local:
            self._write_entry(self._lease)

    def leave(self) -> None:
        """Remove the registration; further calls have no effect."""
        if self._blackboard.is_leaving:
            return
        self._blackboard.is_leaving = True
        eventlet.spawn_n(self._revoke_lease)

    def send_exit(self) -> None:
        """Do nothing, because the registration is already removed."""

    def _register(self) -> None:
        ttl_ms = max(self._min_lease_ms, _LEASE_TTL_MS)
        opened = self._record_result(self._store.open_lease(ttl_ms))
        if not is_successful(opened):
            return
        lease = opened.unwrap()
        if self._write_entry(lease):
            self._lease = lease
            self._renewed_ms = self._clock.now_ms()
            self._reporter.lease_granted(lease, ttl_ms)

    def _write_entry(self, lease: int) -> bool:
        """Write the entry of this daemon and return whether the lease is valid."""
        local = self._blackboard.local
        registered = self._record_result(self._store.register(local, lease))
        if not (is_successful(registered) and registered.unwrap()):
            return False
        self._registered = local
        return True

    def _renew(self, lease: int) -> bool:
        """Renew a lease and return whether the lease may still be valid."""
        renewed = self._record_result(self._store.renew(lease))
        if not is_successful(renewed):
            return True
        now_ms = self._clock.now_ms()
        if renewed.unwrap():
            self._renewed_ms = now_ms
            return True
        self._lease = None
        self._reporter.lease_expired(lease, now_ms - self._renewed_ms)
        return False

    def _record_result(
        self, result: Result[_ResultT, Failure]
    ) -> Result[_ResultT, Failure]:
        if is_successful(result):
            self._availability.record_response()
        else:
            self._availability.record_failure(StoreCall.LEASE, result.failure())
        return result

    def _revoke_lease(self) -> None:
        if self._lease is not None:
            self._store.revoke_lease(self._lease)
        self._has_ended = True
