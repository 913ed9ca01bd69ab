"""Factories of routes, servers and dispatches for tests."""

import random
from collections.abc import Sequence
from typing import Any

import attrs

from fennelfork import (
    Clock,
    FailureCode,
    ManualTime,
    manual_clock,
    may_have_run,
    not_run,
)
from fennelfork.membership import (
    FleetShare,
    Member,
    MemberStatus,
    SharePolicy,
)
from fennelfork.routes import (
    COLD_WINDOW_MS,
    BackendServer,
    CallerLimits,
    ColdLimits,
    ColdPolicy,
    ConnectionShares,
    Dispatch,
    DispatchParts,
    Distances,
    FanOut,
    FleetMaximum,
    HomeRegions,
    LatencyBaseline,
    Registry,
    RequestTimes,
    RetryBudgets,
    RetryPolicy,
    Route,
    Selector,
    Send,
    ServerDirectory,
    ServerState,
    ServerStates,
    SingleService,
    dispatch,
    latency_baseline,
    retry_budgets,
    services_of,
)

LATENCY_TARGET_MS = 300.0
TIMEOUT_MS = 4000.0
WINDOW_MS = 10_000.0
MAX_AGE_MS = 3000.0
LIMITS = CallerLimits(
    header_bytes=16_384,
    body_bytes=65_536,
    header_ms=3000,
    idle_ms=15_000,
)
SHED = not_run(FailureCode.SHED, 'full')
NO_CONNECTION = not_run(FailureCode.QUEUE_FULL, 'no connection is free')
CONNECTION_RESET = may_have_run(
    FailureCode.QUEUE_FULL, 'reset by the other end'
)
UNREACHABLE = not_run(FailureCode.UNREACHABLE, 'refused')
REFUSED = attrs.evolve(UNREACHABLE, server_ended=True)
MISDIRECTED = attrs.evolve(
    not_run(FailureCode.UNREACHABLE, 'another server'), was_received=True
)
BROKEN_CONNECTION = may_have_run(FailureCode.UNREACHABLE, 'reset')
SERVER_CRASH = attrs.evolve(BROKEN_CONNECTION, connection_lost=True)


def route(**changes: Any) -> Route:
    """Return an idempotent route to one service."""
    fields: dict[str, Any] = {
        'name': 'r-1',
        'host': 'rafts.example',
        'prefix': '/rafts/',
        'target': SingleService(service='archive'),
        'idempotent': True,
        'timeout_ms': TIMEOUT_MS,
        'latency_target_ms': LATENCY_TARGET_MS,
        'max_attempts': 2,
    }
    return Route(**(fields | changes))


def fan_out(shards: int, least: float = 0.75) -> FanOut:
    """Return a target that fans out to a number of shards."""
    return FanOut(
        services=tuple(f'shard-{number}' for number in range(shards)),
        max_records=5,
        min_coverage=least,
    )


def server(service: str, name: str, **changes: Any) -> BackendServer:
    """Return a backend server in the data centre of the daemon."""
    fields: dict[str, Any] = {
        'instance': f'{service}/{name}',
        'service': service,
        'address': '10.0.0.1:80',
        'data_centre': 'here',
        'slots': 5,
    }
    return BackendServer(**(fields | changes))


def daemon_member(name: str) -> Member:
    """Return the entry of a daemon in the data centre `here`."""
    return Member(
        name=name,
        incarnation=1,
        state=MemberStatus.ALIVE,
        region='east',
        data_centre='here',
        caller='10.0.0.1:80',
        operator='',
        peer='',
        config_version=1,
    )


@attrs.define(kw_only=True)
class FakeLease:
    """Times of the lease of a registration."""

    since_ms: float | None = None
    confirmed_ms: float = 0


@attrs.define(kw_only=True)
class RoutingDaemon:
    """Routing of one daemon, with three servers per service.

    The servers are in the data centre of the daemon, in another data centre of
    its region and in another region.
    """

    time: ManualTime = attrs.field(factory=ManualTime)
    ratio: float = 100
    directory: ServerDirectory = attrs.field(init=False)
    states: ServerStates = attrs.field(factory=ServerStates)
    limit_divisor: FleetMaximum = attrs.field(init=False)
    budgets: RetryBudgets = attrs.field(init=False)
    cold_limits: ColdLimits = attrs.field(init=False)
    parts: DispatchParts = attrs.field(init=False)
    cold_share: FleetShare = attrs.field(init=False)
    lease: FakeLease = attrs.field(factory=FakeLease)
    local: Member = attrs.field(factory=lambda: daemon_member('vm-0'))
    active_home_regions: HomeRegions = None

    def __attrs_post_init__(self) -> None:
        """Create the components of the daemon."""
        clock = self.clock
        self.directory = ServerDirectory(registry=Registry(clock=clock))
        self.limit_divisor = FleetMaximum(clock=clock, window_ms=WINDOW_MS)
        self.budgets = retry_budgets(
            RetryPolicy(ratio=self.ratio, fixed=0, window_ms=WINDOW_MS),
            clock,
            self._share(WINDOW_MS),
        )
        self.cold_share = self._share(COLD_WINDOW_MS)
        self.cold_limits = ColdLimits(
            policy=ColdPolicy(rate_factor=1.5, slack=5),
            clock=clock,
            fleet_share=self.cold_share,
            evacuations=self.directory.evacuations,
        )
        self.parts = DispatchParts(
            selector=self.selector(),
            retry_budgets=self.budgets,
            home_regions_of=self.home_regions_of,
        )

    @property
    def clock(self) -> Clock:
        """Clock of the daemon."""
        return manual_clock(self.time)

    def home_regions_of(self, known: Route) -> HomeRegions:
        """Return the home regions of any route in the active version."""
        return self.active_home_regions

    def selector(self) -> Selector:
        """Return a selector over the registered servers."""
        return Selector(
            directory=self.directory,
            states=self.states,
            distances=Distances(
                data_centre='here',
                region_of={'here': 'east', 'near': 'east', 'far': 'west'},
            ),
            shares=ConnectionShares(limit_divisor=self.limit_divisor),
            cold_limits=self.cold_limits,
            clock=self.clock,
            rng=random.Random(7),
        )

    def add_servers(self, services: Sequence[str]) -> None:
        """Register three servers for each service."""
        for service in services:
            for place in ('here', 'near', 'far'):
                self.directory.put(server(service, place, data_centre=place))

    def dispatch(
        self,
        wanted: Route,
        baseline: LatencyBaseline | None = None,
        suspect: Sequence[str] = (),
        caller_way_ms: float = 0,
    ) -> Dispatch[Any]:
        """Return the dispatch of a request that arrives now."""
        self.add_servers(services_of(wanted.target))
        return dispatch(
            wanted,
            services_of(wanted.target),
            self.parts,
            baseline or latency_baseline(wanted.latency_target_ms),
            RequestTimes(
                received_ms=self.time.at_ms,
                timeout_ms=wanted.timeout_ms,
                caller_way_ms=caller_way_ms,
            ),
            suspect_services=suspect,
        )

    def state_of(self, service: str, place: str) -> ServerState:
        """Return the state of a server."""
        return self.states.for_incarnation(server(service, place).incarnation)

    def mark_sent(self, sends: Sequence[Send]) -> None:
        """Record attempts in the states of their servers."""
        for send in sends:
            state = self.states.for_incarnation(send.server.incarnation)
            state.record_sent(send.attempt, send.sent_ms)

    def _share(self, window_ms: float) -> FleetShare:
        return FleetShare(
            policy=SharePolicy(window_ms=window_ms, max_age_ms=MAX_AGE_MS),
            clock=self.clock,
            local=self.local,
            lease=self.lease,
        )
