"""Availability of the store, derived from all calls of this daemon."""

import enum
from collections.abc import Callable
from typing import Final

import attrs

from fennelfork import Clock, Failure
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._store_reporter import StoreReporter

# Shortest outage after which registrations may have expired. A watch that fails
# while renewals succeed is not an outage.
_MIN_OUTAGE_MS: Final = 1500.0


class StoreCall(enum.StrEnum):
    """Kind of a call of the store, as logged."""

    LISTING = 'listing'
    CHANGES = 'changes'
    LEASE = 'lease'


@attrs.define(kw_only=True)
class StoreAvailability:
    """Tracks whether the store responds and how old its data is."""

    _blackboard: RouteBlackboard
    _clock: Clock
    _reporter: StoreReporter
    _responded_ms: float
    _updated_ms: float
    _is_unavailable: bool = False
    _failed_calls: int = 0
    _is_first_call_pending: bool = True
    _outage_end_ms: float | None = None
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def is_available(self) -> bool:
        """Whether the latest call of the store by this daemon succeeded."""
        return not self._is_unavailable

    @property
    def outage_end_age_ms(self) -> float | None:
        """Time since the end of the latest outage, None without an outage."""
        if self._outage_end_ms is None:
            return None
        return self._clock.now_ms() - self._outage_end_ms

    @property
    def is_first_call_pending(self) -> bool:
        """Whether the first call of the store has no result yet."""
        return self._is_first_call_pending

    @property
    def data_age_ms(self) -> float:
        """Time since the last listing or update from the store.

        Renewals of a lease do not count because they return no data.
        """
        return self._clock.now_ms() - self._updated_ms

    def add_listener(self, on_available: Callable[[], None]) -> None:
        """Add a function to call when the store is available again."""
        self._listeners.append(on_available)

    def record_failure(self, call: StoreCall, failure: Failure) -> None:
        """Record a call that got no response or was rejected."""
        self._is_first_call_pending = False
        self._failed_calls += 1
        if not self._is_unavailable:
            self._is_unavailable = True
            self._reporter.store_unavailable(call, failure)

    def record_update(self, age_ms: float = 0) -> None:
        """Record data that was read from the store some time ago."""
        self._updated_ms = self._clock.now_ms() - age_ms

    def record_outage_end(self, elapsed_ms: float) -> None:
        """Record that the store became available some time ago.

        Entries that are missing may have expired during the outage, so they
        are kept for a grace period.
        """
        self._outage_end_ms = self._clock.now_ms() - elapsed_ms
        self._blackboard.directory.registry.start_grace_period(elapsed_ms)
        self._blackboard.members.start_grace_period(elapsed_ms)

    def record_response(self) -> None:
        """Record a successful call."""
        now_ms = self._clock.now_ms()
        unavailable_ms = now_ms - self._responded_ms
        self._responded_ms = now_ms
        self._is_first_call_pending = False
        if not self._is_unavailable:
            return
        self._is_unavailable = False
        self._reporter.store_available(
            unavailable_ms, self.data_age_ms, self._failed_calls
        )
        self._failed_calls = 0
        if unavailable_ms >= _MIN_OUTAGE_MS:
            self.record_outage_end(0)
        for on_available in self._listeners:
            on_available()


def store_availability(
    blackboard: RouteBlackboard,
    clock: Clock,
    reporter: StoreReporter,
) -> StoreAvailability:
    """Create the availability tracker of a daemon that starts now."""
    now_ms = clock.now_ms()
    return StoreAvailability(
        blackboard=blackboard,
        clock=clock,
        reporter=reporter,
        responded_ms=now_ms,
        updated_ms=now_ms,
    )
