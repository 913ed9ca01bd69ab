"""Copy of the store that a daemon keeps up to date and passes on."""

import math

import attrs

from fennelfork import Clock
from fennelfork.routes import StoreEra, StorePosition
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._ports import Listing, RelayedBatch, UpdateBatch
from fennelfork_daemon.routes._relay import Relay
from fennelfork_daemon.routes._update_applier import UpdateApplier


@attrs.define(kw_only=True)
class StoreCopy:
    """Applies listings and updates to the blackboard, in order of revisions.

    Attributes:
        relay: passes on the updates to other daemons.
        revision: latest known revision, or None if a listing is needed.
        has_listed: whether a listing was applied since the start.
    """

    relay: Relay
    revision: int | None = None
    has_listed: bool = False
    _availability: StoreAvailability
    _applier: UpdateApplier
    _era: StoreEra

    @property
    def position(self) -> StorePosition:
        """Latest known position in the history of the store."""
        return StorePosition(revision=self.revision or 0, era=self._era.number)

    def discard_history(self) -> None:
        """Require a listing, because the store began another era.

        The known entries stay in use until then, but not their revisions, nor
        the lease of the own entry, which may belong to another daemon now.
        """
        self.revision = None
        blackboard = self._applier.blackboard
        blackboard.own_entry = None
        blackboard.quarantine.exchange.table.discard_revisions()
        self.relay.discard()

    def apply_listing(self, listing: Listing) -> None:
        """Replace the known entries by a listing."""
        data_age_ms = self._availability.data_age_ms
        self._availability.record_update()
        self._applier.apply_listing(listing.updates, data_age_ms)
        # The first listing may be stale.
        self._record_view(0 if self.has_listed else math.inf)
        self.revision = listing.revision
        self.has_listed = True
        self.relay.reset(listing.revision)

    def apply_changes(self, changes: UpdateBatch) -> None:
        """Apply the response of a watch of the store."""
        self._availability.record_update()
        self._extend(changes)
        self._record_view(0)

    def apply_relayed(self, batch: RelayedBatch, max_age_ms: float) -> bool:
        """Apply updates that another daemon has passed on.

        Returns:
            Whether this daemon is up to date, within the maximum age.
        """
        if self.revision is None or batch.changes.revision < self.revision:
            return False
        if batch.outage_end_age_ms is not None:
            self._availability.record_outage_end(batch.outage_end_age_ms)
        self._availability.record_update(batch.age_ms)
        self._extend(batch.changes)
        self._record_view(batch.age_ms)
        return batch.is_connected and batch.age_ms <= max_age_ms

    def _record_view(self, age_ms: float) -> None:
        blackboard = self._applier.blackboard
        members = blackboard.members.entries.values()
        blackboard.fleet_shares.record_view(members, age_ms)

    def _extend(self, changes: UpdateBatch) -> None:
        """Apply consecutive updates and pass them on."""
        self._applier.apply(changes.updates)
        self.revision = changes.revision
        self.relay.extend(changes)


def store_copy(
    availability: StoreAvailability,
    applier: UpdateApplier,
    era: StoreEra,
    clock: Clock,
) -> StoreCopy:
    """Create the copy of a daemon that has not read the store yet."""
    return StoreCopy(
        relay=Relay(availability=availability, era=era, clock=clock),
        availability=availability,
        applier=applier,
        era=era,
    )
