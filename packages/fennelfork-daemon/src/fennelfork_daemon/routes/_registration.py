"""Keeps this daemon registered in the store while it is ready."""

from typing import Final, TypeVar

import attrs
import eventlet
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Clock, Failure
from fennelfork_daemon.routes._board import RouteBoard
from fennelfork_daemon.routes._contact import StoreCall, StoreContact
from fennelfork_daemon.routes._ports import Store
from fennelfork_daemon.routes._store_reporter import StoreReporter

_MS_PER_SECOND: Final = 1000
# A daemon that died is named to callers for at most this long; they try it
# in vain once and take another.
_LEASE_MS: Final = 2500.0
# A lost renewal or two do not end the lease.
_RENEW_MS: Final = 700.0
# A daemon that has just become ready is named to callers by others soon.
_LOOK_MS: Final = 50.0

_Got = TypeVar('_Got')


@attrs.define(kw_only=True)
class Registration:
    """This daemon's entry in the store."""

    _store: Store
    _board: RouteBoard
    _least_lease_ms: float
    _contact: StoreContact
    _clock: Clock
    _reporter: StoreReporter
    _renewed_ms: float = 0
    _lease: int | None = None
    _ended: bool = False

    @property
    def lease(self) -> int | None:
        """The lease that this daemon is registered under, if it is."""
        return self._lease

    @property
    def leave_is_told(self) -> bool:
        """Whether the store knows that this daemon leaves."""
        return self._ended

    @property
    def wait_ms(self) -> float:
        """How long until the next step."""
        if self._board.ready or self._board.leaving:
            return _RENEW_MS
        return _LOOK_MS

    def run(self) -> None:
        """Stay registered until the daemon leaves."""
        while not self._ended:
            self.step()
            eventlet.sleep(self.wait_ms / _MS_PER_SECOND)

    def step(self) -> None:
        """Renew the registration, or make it."""
        if not self._board.ready:
            return
        if self._lease is None:
            self._register()
        elif not self._still_runs(self._lease):
            self._lapsed(self._lease)
            self._register()

    def leave(self) -> None:
        """End the registration; asked again, do nothing."""
        if self._board.leaving:
            return
        self._board.leaving = True
        eventlet.spawn_n(self._end)

    def say_goodbye(self) -> None:
        """Do nothing more: the store has been told."""

    def _register(self) -> None:
        ttl_ms = max(self._least_lease_ms, _LEASE_MS)
        opened = self._noted(self._store.open_lease(ttl_ms))
        if not is_successful(opened):
            return
        lease = opened.unwrap()
        made = self._noted(self._store.register(self._board.local, lease))
        if is_successful(made) and made.unwrap():
            self._lease = lease
            self._renewed_ms = self._clock.now_ms()
            self._reporter.registered(lease, ttl_ms)

    def _still_runs(self, lease: int) -> bool:
        """Renew a lease; tell whether it may still run."""
        renewed = self._noted(self._store.renew(lease))
        if not is_successful(renewed):
            return True
        if renewed.unwrap():
            self._renewed_ms = self._clock.now_ms()
        return renewed.unwrap()

    def _lapsed(self, lease: int) -> None:
        self._lease = None
        age_ms = self._clock.now_ms() - self._renewed_ms
        self._reporter.lapsed(lease, age_ms)

    def _noted(self, called: Result[_Got, Failure]) -> Result[_Got, Failure]:
        if is_successful(called):
            self._contact.reached()
        else:
            self._contact.missed(StoreCall.LEASE, called.failure())
        return called

    def _end(self) -> None:
        if self._lease is not None:
            self._store.end_lease(self._lease)
        self._ended = True
