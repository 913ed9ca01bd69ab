"""The facts that the controllers of one daemon read and write."""

import attrs

from fennelfork.config._document import Document, Front
from fennelfork.membership._member import Member
from fennelfork.placement._home_index import HomeIndex, home_index
from fennelfork.placement._routing_mode import RoutingMode


def _no_homes() -> HomeIndex:
    return home_index(())


@attrs.define(kw_only=True)
class Blackboard:
    """Facts shared by the controllers of one daemon.

    Attributes:
        local: this daemon, as it announces itself.
        members: what is known of the fleet, this daemon included, by name;
            replaced as a whole when a member comes, goes or changes state.
        doubted: names of members that failed a call; membership verifies
            them and takes them out.
        superseded: whether a later daemon runs under this one's name.
        document: the configuration in force here.
        config_hash: digest of that configuration.
        routing: how sub-queries reach the backend servers.
    """

    local: Member
    members: dict[str, Member]
    document: Document
    config_hash: str = ''
    routing: RoutingMode = RoutingMode.HOME
    doubted: set[str] = attrs.field(factory=set)
    superseded: bool = False
    _homes: HomeIndex = attrs.field(factory=_no_homes, eq=False)
    _homes_of: dict[str, Member] | None = attrs.field(default=None, eq=False)

    @property
    def homes(self) -> HomeIndex:
        """The homes of shards, by the members as they are now."""
        if self._homes_of is not self.members:
            self._homes_of = self.members
            self._homes = home_index(self.members.values())
        return self._homes

    @property
    def config_version(self) -> int:
        """Version of the configuration in force here."""
        return self.document.version

    def front(self, name: str) -> Front | None:
        """Give the settings of a front, none if there is no such front."""
        return self.document.fronts.get(name)


def blackboard(local: Member) -> Blackboard:
    """Build the blackboard of a daemon that knows only itself."""
    return Blackboard(
        local=local,
        members={local.name: local},
        document=Document(),
    )
