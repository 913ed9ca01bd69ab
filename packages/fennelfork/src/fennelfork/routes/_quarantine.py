"""Detection and quarantine of poison requests.

A poison request crashes each backend server that runs it, and may arrive at
any daemon. No server ever responds to a poison request, so a response clears a
request. Simultaneous crashes prove nothing: when many servers crash for an
unrelated reason, every request in flight meets several crashes. A suspected
request is therefore sent to one server at a time, and is refused after two
isolated crashes that are at least a second apart without a response between
them. An ordinary request is delayed by one response, and a poison request
crashes only few servers after its first fan-out.
"""

from typing import Final

import attrs

from fennelfork._clock import Clock
from fennelfork.routes._suspicion import (
    RequestStatus,
    ServerCrash,
    Suspicion,
    SuspicionRecord,
)
from fennelfork.routes._suspicion_exchange import SuspicionExchange
from fennelfork.routes._suspicion_table import suspicion_table
from fennelfork.routes._suspicion_updates import PendingUpdates

# Leaves crashed servers time to restart before a trial.
_TRIAL_DELAY_MS: Final = 30_000.0
# Each trial may crash another server, and up to two attempts may have reached
# servers before all daemons knew of the quarantine.
_MAX_TRIALS: Final = 1


@attrs.frozen(kw_only=True)
class Quarantine:
    """Suspected poison requests of a daemon, and the quarantine rules.

    Attributes:
        exchange: synchronisation of the suspicions with other daemons.
    """

    exchange: SuspicionExchange
    _clock: Clock
    _wall: Clock

    @property
    def records(self) -> tuple[SuspicionRecord, ...]:
        """Records of all requests that this daemon suspects."""
        return self.exchange.records

    def find(self, fingerprint: str) -> Suspicion | None:
        """Return the suspicion of a request, none if absent or released."""
        known = self.exchange.table.find(fingerprint)
        if known is None or known.status is RequestStatus.RELEASED:
            return None
        return known

    def record_crash(
        self, fingerprint: str, crash: ServerCrash
    ) -> RequestStatus | None:
        """Record the crash of a server during an attempt of a request.

        Args:
            fingerprint: fingerprint of the request.
            crash: crash of the backend server.

        Returns:
            The new status of the request, or none if it did not change.
        """
        known = self.find(fingerprint)
        before = known.status if known else None
        if known is None:
            known = self.exchange.table.create(fingerprint)
        crash_ms = int(self._wall.now_ms())
        if known.add_crash(crash, self._clock.now_ms(), crash_ms):
            self.exchange.publish(fingerprint)
        return None if known.status is before else known.status

    def record_response(
        self,
        fingerprint: str,
        service: str,
        *,
        alone: bool,
    ) -> bool:
        """Record the response of a service to a request.

        Args:
            fingerprint: fingerprint of the request.
            service: service of the backend server that responded.
            alone: whether the attempt was the only one in flight. Such a
                response of a service with crashes clears the crashes of all
                services.

        Returns:
            Whether the response releases the request.
        """
        known = self.find(fingerprint)
        if known is None:
            return False
        cleared = alone and service in known.services
        if not (cleared or known.record_response(service)):
            return False
        return self.release(fingerprint)

    def release(self, fingerprint: str) -> bool:
        """Release a request from quarantine or suspicion.

        Args:
            fingerprint: fingerprint of the request.

        Returns:
            Whether the request was suspected or quarantined.
        """
        known = self.find(fingerprint)
        if known is None:
            return False
        if known.is_durable:
            # A published release lets other daemons tell a released request
            # from an entry that the store lost.
            known.release(self._clock.now_ms())
            self.exchange.publish(fingerprint)
        else:
            self.exchange.remove(fingerprint)
        return True

    def is_trial_due(self, fingerprint: str) -> bool:
        """Return whether a quarantined request may be sent as a trial."""
        known = self.find(fingerprint)
        if known is None or known.trials >= _MAX_TRIALS:
            return False
        return self._clock.now_ms() - known.status_since_ms >= _TRIAL_DELAY_MS


def quarantine(clock: Clock, wall: Clock) -> Quarantine:
    """Build the quarantine of a daemon without suspected requests.

    Args:
        clock: monotonic clock of the daemon.
        wall: wall clock, for times that outlive the daemon.
    """
    exchange = SuspicionExchange(
        table=suspicion_table(clock, wall),
        clock=clock,
        pending=PendingUpdates(),
    )
    return Quarantine(exchange=exchange, clock=clock, wall=wall)
