"""Reaction of a daemon to a store that was restored from an older copy."""

import attrs

from fennelfork.routes import EraChange
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes._events_store import StoreRestored
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._store_copy import StoreCopy


@attrs.frozen(kw_only=True)
class StoreRestoration:
    """Reacts when the store begins another era."""

    _copy: StoreCopy
    _registration: Registration
    _log: DecisionLog

    def begin_era(self, change: EraChange) -> None:
        """Log what this daemon holds of the era that ended."""
        self._log.log_decision(
            StoreRestored(
                era_before=change.previous,
                era=change.current,
                revision=self._copy.revision,
                lease=self._registration.lease,
            )
        )
