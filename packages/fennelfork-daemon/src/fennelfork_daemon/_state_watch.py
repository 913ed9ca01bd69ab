"""Periodic check of the blackboard that logs changes."""

from typing import Final

import attrs
import eventlet

from fennelfork import Blackboard
from fennelfork_daemon._readiness import unready_reasons
from fennelfork_daemon.logs._logs import StateLog, state_log
from fennelfork_daemon.metrics._metrics import DaemonMetrics

_CHECK_INTERVAL_S: Final = 0.5


@attrs.frozen(kw_only=True)
class StateWatch:
    """Logs changes of the blackboard and updates metrics."""

    _blackboard: Blackboard
    _metrics: DaemonMetrics
    _log: StateLog

    def run(self) -> None:
        """Check the blackboard periodically until the process ends."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.log_changes()
            eventlet.sleep(_CHECK_INTERVAL_S)

    def log_changes(self) -> None:
        """Log each state that changed since the previous check."""
        blackboard = self._blackboard
        self._metrics.apply_configuration(blackboard.document)
        reasons = unready_reasons(blackboard)
        self._log.change(
            'readiness',
            'not ready' if reasons else 'ready',
            reasons=reasons,
            config_version=blackboard.config_version,
        )
        for member in tuple(blackboard.members.values()):
            self._log.change(
                f'member {member.name}',
                member.state.value,
                incarnation=member.incarnation,
            )


def state_watch(blackboard: Blackboard, metrics: DaemonMetrics) -> StateWatch:
    """Build the state watch of a daemon."""
    return StateWatch(
        blackboard=blackboard,
        metrics=metrics,
        log=state_log(daemon=blackboard.local.name),
    )
