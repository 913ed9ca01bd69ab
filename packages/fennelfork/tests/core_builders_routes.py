"""Builders of routes, servers and dispatches for tests."""

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
from fennelfork.routes import (
    Allowances,
    BackendServer,
    CallerLimits,
    ConnectionShares,
    Dispatch,
    DispatchParts,
    Distances,
    FleetSize,
    Gather,
    Pace,
    Registry,
    RepeatPolicy,
    Roster,
    Route,
    Selector,
    Send,
    ServerState,
    ServerStates,
    Single,
    allowances,
    dispatch,
    pace,
    services_of,
)

AIM_MS = 300.0
TIMEOUT_MS = 4000.0
WINDOW_MS = 10_000.0
LIMITS = CallerLimits(
    header_bytes=16_384,
    body_bytes=65_536,
    header_ms=3000,
    idle_ms=15_000,
)
SHED = not_run(FailureCode.SHED, 'full')
NO_CONNECTION = not_run(FailureCode.QUEUE_FULL, 'no connection is free')
CUT = may_have_run(FailureCode.QUEUE_FULL, 'reset by the other end')
UNREACHED = not_run(FailureCode.UNREACHABLE, 'refused')
BROKEN = may_have_run(FailureCode.UNREACHABLE, 'reset')
ENDED = attrs.evolve(BROKEN, broken_off=True)


def route(**changes: Any) -> Route:
    """Build an idempotent route to one service."""
    fields: dict[str, Any] = {
        'name': 'r-1',
        'host': 'rafts.example',
        'prefix': '/rafts/',
        'target': Single(service='archive'),
        'idempotent': True,
        'timeout_ms': TIMEOUT_MS,
        'aim_ms': AIM_MS,
        'attempts': 2,
    }
    return Route(**(fields | changes))


def gather(shards: int, least: float = 0.75) -> Gather:
    """Build a target of some shards."""
    return Gather(
        services=tuple(f'shard-{number}' for number in range(shards)),
        most_records=5,
        least_coverage=least,
    )


def server(service: str, name: str, **changes: Any) -> BackendServer:
    """Build a backend server nearby."""
    fields: dict[str, Any] = {
        'instance': f'{service}/{name}',
        'service': service,
        'address': '10.0.0.1:80',
        'data_centre': 'here',
        'slots': 5,
    }
    return BackendServer(**(fields | changes))


@attrs.define(kw_only=True)
class World:
    """One daemon with three servers for each service: here, near and far."""

    time: ManualTime = attrs.field(factory=ManualTime)
    ratio: float = 100
    roster: Roster = attrs.field(init=False)
    states: ServerStates = attrs.field(factory=ServerStates)
    fleet: FleetSize = attrs.field(init=False)
    allowed: Allowances = attrs.field(init=False)
    parts: DispatchParts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        clock = self.clock
        self.roster = Roster(registry=Registry(clock=clock))
        self.fleet = FleetSize(clock=clock, window_ms=WINDOW_MS)
        self.allowed = allowances(
            RepeatPolicy(ratio=self.ratio, fixed=0, window_ms=WINDOW_MS),
            clock,
            self.fleet,
        )
        self.parts = DispatchParts(
            selector=self.selector(),
            allowances=self.allowed,
        )

    @property
    def clock(self) -> Clock:
        """The time of this world."""
        return manual_clock(self.time)

    def selector(self) -> Selector:
        """Build what chooses among the servers."""
        return Selector(
            roster=self.roster,
            states=self.states,
            distances=Distances(
                data_centre='here',
                region_of={'here': 'east', 'near': 'east', 'far': 'west'},
            ),
            shares=ConnectionShares(fleet=self.fleet),
            clock=self.clock,
            rng=random.Random(7),
        )

    def add_servers(self, services: Sequence[str]) -> None:
        """Register three servers of each service."""
        for service in services:
            for place in ('here', 'near', 'far'):
                self.roster.put(server(service, place, data_centre=place))

    def dispatch(
        self,
        wanted: Route,
        known: Pace | None = None,
        suspect: Sequence[str] = (),
    ) -> Dispatch[Any]:
        """Build the dispatch of a request that comes now."""
        self.add_servers(services_of(wanted.target))
        return dispatch(
            wanted,
            services_of(wanted.target),
            self.parts,
            known or pace(wanted.aim_ms),
            (self.time.at_ms, wanted.timeout_ms),
            suspect_services=suspect,
        )

    def state_of(self, service: str, place: str) -> ServerState:
        """Give what was seen of one of the servers."""
        return self.states.of(server(service, place).run)

    def mark_sent(self, sends: Sequence[Send]) -> None:
        """Note sends in the states of their servers, as a daemon does."""
        for send in sends:
            state = self.states.of(send.server.run)
            state.sent(send.attempt, send.sent_ms)
