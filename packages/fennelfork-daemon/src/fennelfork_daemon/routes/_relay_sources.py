"""Choice between the store and the daemons that pass on its updates."""

import attrs

from fennelfork.membership import Member
from fennelfork.placement import relay_parents
from fennelfork.routes import RelayHealth
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._blackboard import RouteBlackboard


@attrs.frozen(kw_only=True)
class RelaySources:
    """Chooses where this daemon reads the next updates.

    Attributes:
        health: failures of the daemons that pass on updates.
    """

    health: RelayHealth
    _blackboard: RouteBlackboard
    _availability: StoreAvailability

    @property
    def is_store_available(self) -> bool:
        """Whether the latest call of the store by this daemon succeeded."""
        return self._availability.is_available

    @property
    def reads_for_data_centre(self) -> bool:
        """Whether this daemon reads the store for its data centre."""
        return bool(self._blackboard.local.peer) and not self._parents()

    @property
    def knows_data_centre(self) -> bool:
        """Whether another daemon of the data centre is known."""
        local = self._blackboard.local
        return any(
            member.data_centre == local.data_centre
            and member.name != local.name
            for member in self._blackboard.members.entries.values()
        )

    def next_relay(self) -> Member | None:
        """Return the daemon to ask for updates, or None to read the store.

        While neither this daemon nor the relays can read the store, updates
        arrive sooner from a relay, and calls of the store only add load.
        """
        parents = {parent.name: parent for parent in self._parents()}
        chosen = self.health.first_connected(parents)
        if chosen is None and not self._availability.is_available:
            chosen = self.health.first_responsive(parents)
        return None if chosen is None else parents[chosen]

    def _parents(self) -> tuple[Member, ...]:
        return relay_parents(
            self._blackboard.local, self._blackboard.members.entries.values()
        )
