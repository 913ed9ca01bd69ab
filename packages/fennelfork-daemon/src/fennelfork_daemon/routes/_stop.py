"""The graceful stop of a daemon that serves routes."""

from typing import Final

import attrs

from fennelfork import Clock, StopPolicy
from fennelfork_daemon._in_progress import InProgress
from fennelfork_daemon._stop_service import StopService, stop_service
from fennelfork_daemon.logs._budget import DecisionLog
from fennelfork_daemon.routes._entries import ENTRY_TTL_MS
from fennelfork_daemon.routes._events_process import StateChanged
from fennelfork_daemon.routes._follower import StoreFollower
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._settings import RouteSettings

# Some callers keep an entry answer three times as long as it says.
_MAX_TTL_FACTOR: Final = 3
# Telling the store takes some ms; while it is away, others notice by the lease.
_ANNOUNCEMENT_TIMEOUT_MS: Final = 700.0
# Before the process would be killed, so that it ends by itself.
_STOP_MARGIN_MS: Final = 500.0


@attrs.frozen(kw_only=True)
class StopLog:
    """Tells each step of the stop as one of this daemon's decisions."""

    _log: DecisionLog

    def change(
        self,
        subject: str,
        state: str,
        *,
        running: int,
        cut: int,
    ) -> bool:
        """Tell a step; see `StateChanged`."""
        return self._log.tell(
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
    """Build the stop: leave the store, serve on for a while, then end."""
    policy = StopPolicy(
        entry_ttl_ms=_MAX_TTL_FACTOR * ENTRY_TTL_MS,
        stop_ms=settings.stop_ms - _STOP_MARGIN_MS,
        announce_ms=_ANNOUNCEMENT_TIMEOUT_MS,
        # A supervisor may repeat its signal, and kills in the end by itself.
        repeat_forces_end=False,
        # Others name this daemon until they have asked for changes.
        propagation_ms=lambda: follower.polling.extra_batch_delay_ms,
    )
    step_log = StopLog(log=log)
    return stop_service(policy, clock, registration, in_progress, step_log)
