"""Facts that the controllers of one daemon share."""

import attrs

from fennelfork.config._document import Document, Front
from fennelfork.membership._member import Member
from fennelfork.placement._home_index import HomeIndex, home_index
from fennelfork.placement._routing_mode import RoutingMode


def _empty_index() -> HomeIndex:
    return home_index(())


@attrs.define(kw_only=True)
class Blackboard:
    """Facts that the controllers of one daemon read and write.

    Attributes:
        local: this daemon, as announced to other daemons.
        members: known members by name, including this daemon; replaced as a
            whole when a member joins, leaves or changes state.
        unreachable_peers: names of members to which an RPC failed; membership
            probes each of them and removes the name.
        is_superseded: whether a later daemon runs under the name of this one.
        document: active configuration.
        config_hash: digest of the active configuration.
        routing: mode in which sub-queries reach the backend servers.
    """

    local: Member
    members: dict[str, Member]
    document: Document
    config_hash: str = ''
    routing: RoutingMode = RoutingMode.HOME
    unreachable_peers: set[str] = attrs.field(factory=set)
    is_superseded: bool = False
    _homes: HomeIndex = attrs.field(factory=_empty_index, eq=False)
    _indexed_members: dict[str, Member] | None = attrs.field(
        default=None,
        eq=False,
    )

    @property
    def homes(self) -> HomeIndex:
        """The home daemons of shards, computed from the current members."""
        if self._indexed_members is not self.members:
            self._indexed_members = self.members
            self._homes = home_index(self.members.values())
        return self._homes

    @property
    def config_version(self) -> int:
        """Version of the active configuration."""
        return self.document.version

    def find_front(self, name: str) -> Front | None:
        """Return the settings of a front, or none if the name is unknown."""
        return self.document.fronts.get(name)


def blackboard(local: Member) -> Blackboard:
    """Build the blackboard of a daemon that knows no other member."""
    return Blackboard(
        local=local,
        members={local.name: local},
        document=Document(),
    )
