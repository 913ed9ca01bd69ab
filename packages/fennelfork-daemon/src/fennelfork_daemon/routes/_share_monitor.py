"""Observation of the share of this daemon in the limits of the fleet."""

from collections.abc import Callable
from typing import Final

import attrs
import eventlet

from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._fleet_reporter import FleetReporter

_MS_PER_SECOND: Final = 1000
_INTERVAL_MS: Final = 250.0


@attrs.frozen(kw_only=True)
class ShareMonitor:
    """Periodic timer that logs changes of the share of this daemon."""

    _blackboard: RouteBlackboard
    _reporter: FleetReporter
    _share: Callable[[], float]

    def run(self) -> None:
        """Observe the share until the process exits."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.step()
            eventlet.sleep(_INTERVAL_MS / _MS_PER_SECOND)

    def step(self) -> None:
        """Log the share if it has changed since the last step."""
        self._reporter.limit_share(
            self._share(), len(self._blackboard.members.entries)
        )


def share_monitor(
    blackboard: RouteBlackboard,
    reporter: FleetReporter,
    share: Callable[[], float],
) -> ShareMonitor:
    """Create the observation of a share.

    Args:
        blackboard: state that the components of the daemon share.
        reporter: log of the changes.
        share: returns the current share of this daemon, from 0 to 1.
    """
    return ShareMonitor(blackboard=blackboard, reporter=reporter, share=share)
