"""Graceful stop of a daemon that serves routes."""

from typing import Final

import attrs

from fennelfork import Clock, StopPolicy
from fennelfork_daemon._in_progress import InProgress
from fennelfork_daemon._stop_service import StopService, stop_service
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes._entries import ENTRY_TTL_MS
from fennelfork_daemon.routes._events_process import StateChanged
from fennelfork_daemon.routes._follower import StoreFollower
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._settings import RouteSettings

# Some callers use an entry answer for three times its validity.
_MAX_TTL_FACTOR: Final = 3
# During a store outage the lease expires instead.
_ANNOUNCEMENT_TIMEOUT_MS: Final = 700.0
# A cut request that was sent later than 3 s after the signal counts as lost, and
# the signal and the request may be late.
_ESTIMATE_MS: Final = 2750.0
# Lets the process exit before the supervisor kills it.
_STOP_MARGIN_MS: Final = 500.0


@attrs.frozen(kw_only=True)
class StopLog:
    """Logs each step of the graceful stop of this daemon."""

    _log: DecisionLog

    def change(
        self,
        subject: str,
        state: str,
        *,
        running: int,
        cut: int,
    ) -> bool:
        """Log a step of the graceful stop; see `StateChanged`."""
        return self._log.log_decision(
            StateChanged(
                subject=subject,
                state=state,
                running=running,
                cut=cut,
            ),
        )


def route_stop(
    settings: RouteSettings,
    clock: Clock,
    registration: Registration,
    follower: StoreFollower,
    in_progress: InProgress,
    log: DecisionLog,
) -> StopService:
    """Build the service for the graceful stop of a daemon.

    A stop removes the registration, serves requests until the entry answers
    have expired, and then ends the process.
    """
    policy = StopPolicy(
        entry_ttl_ms=_MAX_TTL_FACTOR * ENTRY_TTL_MS,
        stop_ms=settings.stop_ms - _STOP_MARGIN_MS,
        announce_ms=_ANNOUNCEMENT_TIMEOUT_MS,
        estimate_ms=_ESTIMATE_MS,
        # A supervisor may send its signal again and kills the process itself.
        repeat_forces_end=False,
        # Other daemons return this daemon to callers until their next watch.
        propagation_ms=lambda: follower.polling.extra_batch_delay_ms,
    )
    step_log = StopLog(log=log)
    return stop_service(policy, clock, registration, in_progress, step_log)
