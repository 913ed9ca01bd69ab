"""Blackboard of a daemon that serves routes."""

from typing import Final

import attrs

from fennelfork import Clock, wall_clock
from fennelfork.membership import Member, MemberStatus
from fennelfork.routes import (
    ColdLimits,
    ConnectionShares,
    FleetMaximum,
    HomeRegions,
    Quarantine,
    Registry,
    Route,
    RouteTable,
    ServerDirectory,
    ServerStates,
    quarantine,
)
from fennelfork.workspaces import Workspace
from fennelfork_daemon.http._wsgi_protocol import ConnectionLimits
from fennelfork_daemon.routes._fleet_shares import FleetShares, fleet_shares
from fennelfork_daemon.routes._lease_proof import LeaseProof
from fennelfork_daemon.routes._settings import RouteSettings
from fennelfork_daemon.routes._updates import MemberUpdate

# Grace period of daemons after a store outage. Daemons renew their leases more
# often, and callers lose time on a daemon that has crashed.
_MEMBER_GRACE_MS: Final = 1200.0
# Limits that apply until the first configuration is known.
INITIAL_HEADER_BYTES: Final = 16_384
INITIAL_READ_MS: Final = 3000
INITIAL_IDLE_MS: Final = 15_000


@attrs.define(kw_only=True)
class RouteBlackboard:
    """State that the components of one daemon share.

    Attributes:
        local: entry under which this daemon registers.
        members: registered daemons by name.
        fleet_size: largest recent number of daemons.
        limit_divisor: largest recent number by which this daemon divides the
            connections to each backend server; see `fennelfork.membership`.
        fleet_shares: shares of this daemon in the limits of the whole fleet that
            must hold whatever the daemons know of each other.
        directory: registered backend servers.
        states: observed state of each backend server.
        shares: limits on the connections to each backend server.
        cold_limits: limits on the requests to cold backend servers.
        limits: limits on the connections of callers.
        quarantine: requests that are suspected of crashing backend servers.
        lease_proof: proof that the registration of this daemon is valid.
        table: active configuration, or None before the first listing.
        own_entry: entry of this daemon in the store, as far as known. After a
            restart this is the entry of the earlier process.
        is_leaving: whether this daemon is stopping.
    """

    local: Member
    members: Registry[Member]
    fleet_size: FleetMaximum
    limit_divisor: FleetMaximum
    fleet_shares: FleetShares
    directory: ServerDirectory
    states: ServerStates
    shares: ConnectionShares
    cold_limits: ColdLimits
    limits: ConnectionLimits
    quarantine: Quarantine
    lease_proof: LeaseProof
    table: RouteTable | None = None
    own_entry: MemberUpdate | None = None
    is_leaving: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts requests of callers."""
        return self.table is not None and not self.is_leaving

    @property
    def entry_lease(self) -> int:
        """Lease of the entry of this daemon in the store, 0 for none."""
        return self.own_entry.lease if self.own_entry else 0

    @property
    def has_workspaces(self) -> bool:
        """Whether the active configuration has workspaces."""
        return self.table is not None and self.table.workspaces is not None

    def home_regions_of(self, route: Route) -> HomeRegions:
        """Return the home regions of a route in the active configuration."""
        if self.table is None:
            return route.home_regions
        return self.table.home_regions_of(route)

    def find_workspace(self, name: str) -> Workspace | None:
        """Return a workspace of the active configuration, if there is one."""
        return None if self.table is None else self.table.find_workspace(name)


def route_blackboard(settings: RouteSettings, clock: Clock) -> RouteBlackboard:
    """Create the blackboard of a daemon that has not read the store yet."""
    fleet_size = FleetMaximum(clock=clock, window_ms=settings.repeats.window_ms)
    limit_divisor = FleetMaximum(
        clock=clock, window_ms=settings.repeats.window_ms
    )
    local = _local_member(settings)
    members: Registry[Member] = Registry(clock=clock, grace_ms=_MEMBER_GRACE_MS)
    directory = ServerDirectory(registry=Registry(clock=clock))
    lease_proof = LeaseProof(clock=clock)
    shares = fleet_shares(settings, clock, local, lease_proof)
    return RouteBlackboard(
        local=local,
        members=members,
        fleet_size=fleet_size,
        limit_divisor=limit_divisor,
        fleet_shares=shares,
        directory=directory,
        states=ServerStates(),
        shares=ConnectionShares(limit_divisor=limit_divisor),
        cold_limits=ColdLimits(
            policy=settings.cold,
            clock=clock,
            fleet_share=shares.cold_servers,
            evacuations=directory.evacuations,
        ),
        limits=ConnectionLimits(
            header_bytes=INITIAL_HEADER_BYTES,
            request_read_ms=INITIAL_READ_MS,
            idle_ms=INITIAL_IDLE_MS,
        ),
        quarantine=quarantine(clock, wall_clock()),
        lease_proof=lease_proof,
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
        peer='' if settings.peer is None else str(settings.peer),
        config_version=1,
        processor_cores=settings.processor_cores,
    )
