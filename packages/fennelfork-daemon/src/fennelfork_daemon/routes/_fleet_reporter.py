"""Log lines about the part of a daemon in its fleet."""

from typing import Final

import attrs

from fennelfork import Failure
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes import _events_fleet as fleet

_PERCENT: Final = 100
_SHARE_DIGITS: Final = 4


@attrs.define(kw_only=True)
class FleetReporter:
    """Logs the load of this daemon and where it reads updates.

    Attributes:
        source: daemon from which this daemon reads updates, or `the store`;
            None before the first call.
    """

    source: str | None = None
    _log: DecisionLog
    _limit_share: float = 0

    def update_source(self, source: str) -> None:
        """Log where this daemon reads updates of the store, if it changed."""
        if source != self.source:
            self.source = source
            self._log.log_decision(fleet.UpdateSourceChanged(source=source))

    def relay_failed(self, name: str, failure: Failure) -> None:
        """Log that a daemon did not pass on updates."""
        self._log.log_decision(
            fleet.RelayFailed(peer=name, reason=failure.detail)
        )

    def load_changed(self, *, overloaded: bool, busy_ratio: float) -> None:
        """Log the start or end of an overload of this daemon."""
        self._log.log_decision(
            fleet.LoadChanged(
                overloaded=overloaded,
                busy_percent=round(busy_ratio * _PERCENT),
            ),
        )

    def limit_share(self, share: float, daemons: int) -> None:
        """Log the share of this daemon in the limits of the fleet, if changed.

        Args:
            share: share of this daemon, from 0 to 1.
            daemons: number of registered daemons that this daemon knows.
        """
        rounded = round(share, _SHARE_DIGITS)
        if rounded != self._limit_share:
            self._limit_share = rounded
            self._log.log_decision(
                fleet.LimitShareChanged(share=rounded, daemons=daemons)
            )
