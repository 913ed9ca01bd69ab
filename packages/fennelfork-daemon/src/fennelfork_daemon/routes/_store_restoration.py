"""Reaction of a daemon to a store that was restored from an older copy."""

import attrs

from fennelfork.routes import EraChange
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._events_store import StoreRestored
from fennelfork_daemon.routes._follower import StoreFollower
from fennelfork_daemon.routes._registration import Registration


@attrs.frozen(kw_only=True)
class StoreRestoration:
    """Discards what is true only of the era of the store that ended."""

    _follower: StoreFollower
    _registration: Registration
    _availability: StoreAvailability
    _log: DecisionLog

    def begin_era(self, change: EraChange) -> None:
        """Read the store and register again.

        Revisions and leases of the era that ended have another meaning now.
        """
        self._log.log_decision(
            StoreRestored(
                era_before=change.previous,
                era=change.current,
                revision=self._follower.store_copy.revision,
                lease=self._registration.lease,
            )
        )
        # Owners write entries again that the copy lacks.
        self._availability.record_outage_end(0)
        self._registration.own_lease.discard()
        self._follower.discard_history()
