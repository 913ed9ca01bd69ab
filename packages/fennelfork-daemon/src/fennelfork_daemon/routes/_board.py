"""The facts that the parts of a daemon that serves routes share."""

from typing import Final

import attrs

from fennelfork import Clock, wall_clock
from fennelfork.membership import Member, MemberStatus
from fennelfork.routes import (
    ConnectionShares,
    FleetSize,
    Quarantine,
    Registry,
    RouteTable,
    ServerDirectory,
    ServerStates,
    quarantine,
)
from fennelfork_daemon.http._wsgi_protocol import ConnectionLimits
from fennelfork_daemon.routes._settings import RouteSettings

# Daemons renew their leases each 0.7 s. One that died meanwhile costs its
# callers a second each while it is named.
_MEMBER_GRACE_MS: Final = 1200.0
# Until the limits of the first configuration are known.
INITIAL_HEADER_BYTES: Final = 16_384
INITIAL_READ_MS: Final = 3000
INITIAL_IDLE_MS: Final = 15_000


@attrs.define(kw_only=True)
class RouteBoard:
    """What one daemon knows, read and written by its parts.

    Attributes:
        local: this daemon, as it registers itself.
        members: the daemons that are registered, by name.
        fleet: how many daemons to share limits with.
        roster: the backend servers.
        states: what was seen of each of them.
        shares: connections to each of them.
        limits: what connections of callers may cost.
        quarantine: requests under which backend servers ended.
        table: the routes in force, once there are any.
        leaving: whether this daemon is stopping.
    """

    local: Member
    members: Registry[Member]
    fleet: FleetSize
    directory: ServerDirectory
    states: ServerStates
    shares: ConnectionShares
    limits: ConnectionLimits
    quarantine: Quarantine
    table: RouteTable | None = None
    is_leaving: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether callers should come here."""
        return self.table is not None and not self.is_leaving


def route_blackboard(settings: RouteSettings, clock: Clock) -> RouteBoard:
    """Build the board of a daemon that knows nothing yet."""
    fleet = FleetSize(clock=clock, window_ms=settings.repeats.window_ms)
    return RouteBoard(
        local=_local_member(settings),
        members=Registry(clock=clock, grace_ms=_MEMBER_GRACE_MS),
        fleet=fleet,
        directory=ServerDirectory(registry=Registry(clock=clock)),
        states=ServerStates(),
        shares=ConnectionShares(fleet=fleet),
        limits=ConnectionLimits(
            header_bytes=INITIAL_HEADER_BYTES,
            request_read_ms=INITIAL_READ_MS,
            idle_ms=INITIAL_IDLE_MS,
        ),
        quarantine=quarantine(clock, wall_clock()),
    )


def _local_member(settings: RouteSettings) -> Member:
    return Member(
        name=settings.name,
        incarnation=int(wall_clock().now_ms()),
        state=MemberStatus.ALIVE,
        region=settings.region,
        data_centre=settings.data_centre,
        caller=str(settings.caller),
        operator='',
        peer='',
        config_version=1,
    )
