"""Looks at the blackboard and logs what changed."""

from typing import Final

import attrs
import eventlet

from fennelfork import Blackboard
from fennelfork_daemon._readiness import unready_reasons
from fennelfork_daemon.logs._logs import StateLog, state_log
from fennelfork_daemon.metrics._metrics import DaemonMetrics

_PERIOD_S: Final = 0.5


@attrs.frozen(kw_only=True)
class StateWatch:
    """Turns changes of facts into log lines and metrics."""

    _board: Blackboard
    _metrics: DaemonMetrics
    _log: StateLog

    def run(self) -> None:
        """Look again and again, as long as the daemon runs."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.look()
            eventlet.sleep(_PERIOD_S)

    def look(self) -> None:
        """Log each fact that is not as it was at the last look."""
        board = self._board
        self._metrics.follow(board.document)
        reasons = unready_reasons(board)
        self._log.change(
            'readiness',
            'not ready' if reasons else 'ready',
            reasons=reasons,
            config_version=board.config_version,
        )
        for member in tuple(board.members.values()):
            self._log.change(
                f'member {member.name}',
                member.state.value,
                incarnation=member.incarnation,
            )


def state_watch(board: Blackboard, metrics: DaemonMetrics) -> StateWatch:
    """Build the watch of a daemon."""
    return StateWatch(
        board=board,
        metrics=metrics,
        log=state_log(daemon=board.local.name),
    )
