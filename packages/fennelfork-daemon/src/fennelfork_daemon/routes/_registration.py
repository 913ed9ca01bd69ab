"""Registration of this daemon in the store while it is ready."""

import random
from typing import Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Clock
from fennelfork.config import Backoff
from fennelfork.membership import Member
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._entry_loss import EntryLoss
from fennelfork_daemon.routes._lease_adoption import LeaseAdoption
from fennelfork_daemon.routes._own_lease import OwnLease
from fennelfork_daemon.routes._ports import Store
from fennelfork_daemon.routes._store_reporter import StoreReporter

_MS_PER_SECOND: Final = 1000
# After one renewal without a response, or three that are refused, the next one
# arrives before the lease expires.
_RENEWAL_INTERVAL_MS: Final = 1800.0
_MIN_RETRY_MS: Final = 150.0
# Daemons whose leases have expired register again within this delay, without
# many calls that a store under load has to refuse.
_MAX_RETRY_MS: Final = 800.0
_BACKOFF: Final = Backoff(base_ms=_MIN_RETRY_MS, cap_ms=_MAX_RETRY_MS)
# While only this daemon is turned away, callers use the others.
_MAX_REJECTED_RETRY_MS: Final = 2000.0
_REJECTED_BACKOFF: Final = Backoff(
    base_ms=_MIN_RETRY_MS, cap_ms=_MAX_REJECTED_RETRY_MS
)
# Data that is younger than this was read from the store a moment ago, by this
# daemon or by one that passes on updates.
_CURRENT_DATA_MS: Final = 1500.0
# Bounds the delay between readiness and registration.
_POLL_INTERVAL_MS: Final = 50.0
# Bounds the delay between the loss of the entry and its replacement.
_LOSS_CHECK_INTERVAL_MS: Final = 600.0


@attrs.define(kw_only=True)
class Registration:
    """Maintains the entry of this daemon in the store.

    Attributes:
        own_lease: lease to which the entry is attached.
    """

    own_lease: OwnLease
    _blackboard: RouteBlackboard
    _availability: StoreAvailability
    _rng: random.Random
    _adoption: LeaseAdoption
    _loss: EntryLoss
    _registered: Member | None = None
    _has_ended: bool = False

    @property
    def lease(self) -> int | None:
        """The lease of the registration, or None if not registered."""
        return self.own_lease.number

    @property
    def is_leave_announced(self) -> bool:
        """Whether the registration has been removed from the store."""
        return self._has_ended

    @property
    def delay_ms(self) -> float:
        """Delay in ms before the next step."""
        if not (self._blackboard.is_ready or self._blackboard.is_leaving):
            return _POLL_INTERVAL_MS
        failures = self.own_lease.failures
        if not failures:
            return _RENEWAL_INTERVAL_MS
        serves_others = self._availability.data_age_ms < _CURRENT_DATA_MS
        backoff = _REJECTED_BACKOFF if serves_others else _BACKOFF
        return backoff.delay_ms(failures, self._rng)

    def run(self) -> None:
        """Maintain the registration until the daemon leaves."""
        while not self._has_ended:
            self.step()
            _sleep(self.delay_ms, self._loss, self.own_lease)

    def step(self) -> None:
        """Renew the registration of this daemon, or create it."""
        if not self._blackboard.is_ready:
            return
        lease = self.lease
        if lease is None or not self.own_lease.renew(lease):
            self._register()
        else:
            self._update_entry(lease)

    def leave(self) -> None:
        """Remove the registration; further calls have no effect."""
        if self._blackboard.is_leaving:
            return
        self._blackboard.is_leaving = True
        self._blackboard.lease_proof.record_lost()
        eventlet.spawn_n(self._revoke_lease)

    def send_exit(self) -> None:
        """Do nothing, because the registration is already removed."""

    def _register(self) -> None:
        """Continue the registration of the earlier process, or create one."""
        candidate = self._adoption.candidate
        if candidate is None:
            self._create()
            return
        adopted = self.own_lease.try_adopt(candidate, self._adoption.held_ms)
        if not is_successful(adopted):
            return
        self._adoption.record(is_valid=adopted.unwrap())
        if adopted.unwrap():
            self._registered = self._adoption.entry
            self._loss.record_write()
            self._update_entry(candidate)
        else:
            self._create()

    def _create(self) -> None:
        """Open a lease and write the entry of this daemon.

        The daemon may leave during each call; its entry then goes at once.
        """
        if self._blackboard.is_leaving:
            return
        lease = self.own_lease.open()
        if lease is None or self._blackboard.is_leaving:
            return
        if self._write_entry(lease):
            self.own_lease.hold(lease)
        if self._blackboard.is_leaving:
            self._blackboard.lease_proof.record_lost()
            self.own_lease.revoke()

    def _update_entry(self, lease: int) -> None:
        """Write the entry if the entry in the store is outdated or missing."""
        is_current = self._registered == self._blackboard.local
        is_lost = self._loss.has_lost(lease) or self._adoption.needs_entry(
            lease
        )
        if is_lost or not is_current:
            self._write_entry(lease)

    def _write_entry(self, lease: int) -> bool:
        """Write the entry of this daemon and return whether this succeeded."""
        local = self._blackboard.local
        if not self.own_lease.write_entry(local, lease):
            return False
        self._registered = local
        self._loss.record_write()
        self._adoption.is_active = False
        return True

    def _revoke_lease(self) -> None:
        self.own_lease.revoke()
        self._has_ended = True


def registration(
    store: Store,
    blackboard: RouteBlackboard,
    min_lease_ms: float,
    availability: StoreAvailability,
    clock: Clock,
    reporter: StoreReporter,
) -> Registration:
    """Create the registration of a daemon that has started.

    Args:
        store: the store that holds the entry.
        blackboard: facts that the components of the daemon share.
        min_lease_ms: minimum time for which the store grants a lease.
        availability: receiver of the results of the calls.
        clock: clock of this daemon.
        reporter: log of the leases.
    """
    return Registration(
        blackboard=blackboard,
        availability=availability,
        rng=random.Random(),
        own_lease=OwnLease(
            store=store,
            min_ttl_ms=min_lease_ms,
            availability=availability,
            clock=clock,
            reporter=reporter,
            proof=blackboard.lease_proof,
        ),
        adoption=LeaseAdoption(blackboard=blackboard),
        loss=EntryLoss(
            blackboard=blackboard, availability=availability, clock=clock
        ),
    )


def _sleep(delay_ms: float, loss: EntryLoss, own_lease: OwnLease) -> None:
    """Sleep for a delay, less if the entry or the lease is lost meanwhile."""
    lease = own_lease.number
    remaining_ms = delay_ms
    while remaining_ms > 0:
        slice_ms = min(remaining_ms, _LOSS_CHECK_INTERVAL_MS)
        eventlet.sleep(slice_ms / _MS_PER_SECOND)
        is_lost = own_lease.number != lease or loss.has_lost(lease)
        remaining_ms = 0 if is_lost else remaining_ms - slice_ms
