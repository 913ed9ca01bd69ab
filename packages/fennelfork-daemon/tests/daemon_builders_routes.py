"""Builders and stand-ins for tests of a daemon that serves routes."""

import io
import json
import random
from typing import Any

import attrs
from daemon_builders_store import FakeRelays, FakeStore

from fennelfork import ManualTime, manual_clock
from fennelfork.membership import Member, MemberStatus
from fennelfork.routes import (
    BackendServer,
    CallerLimits,
    RelayHealth,
    RetryPolicy,
    Route,
    RouteTable,
    Service,
    SingleService,
    route_table,
    store_polling,
)
from fennelfork_daemon._address import Address
from fennelfork_daemon.logs._decision_log import DecisionLog, decision_log
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.routes import (
    CallerRequest,
    EntryQuery,
    RouteEntries,
    RouteSettings,
    StoreUpdate,
)
from fennelfork_daemon.routes._availability import (
    StoreAvailability,
    store_availability,
)
from fennelfork_daemon.routes._blackboard import route_blackboard
from fennelfork_daemon.routes._evacuation_control import EvacuationControl
from fennelfork_daemon.routes._fleet_page import FleetPage
from fennelfork_daemon.routes._fleet_reporter import FleetReporter
from fennelfork_daemon.routes._follower import StoreFollower, store_follower
from fennelfork_daemon.routes._metrics import route_metrics
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._registration import (
    Registration,
    registration,
)
from fennelfork_daemon.routes._relay_reader import RelayReader
from fennelfork_daemon.routes._relay_sources import RelaySources
from fennelfork_daemon.routes._store_copy import store_copy
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._store_restoration import StoreRestoration
from fennelfork_daemon.routes._update_applier import UpdateApplier
from fennelfork_daemon.settings._log_settings import LogSettings

_ANY_PORT = Address(host='127.0.0.1', port=0)
_NEARBY = EntryQuery(region='east', data_centre='here')


def settings(**changes: Any) -> RouteSettings:
    """Create the settings of a daemon on loopback."""
    fields: dict[str, Any] = {
        'name': 'vm-1',
        'region': 'east',
        'data_centre': 'here',
        'region_of': {'here': 'east', 'far': 'west'},
        'caller': _ANY_PORT,
        'readiness': _ANY_PORT,
        'entries': _ANY_PORT,
        'operator': None,
        'store': _ANY_PORT,
        'repeats': RetryPolicy(ratio=0.2, fixed=58, window_ms=10_000),
        'stop_ms': 6000,
        'least_lease_ms': 1000,
        'in_force_ms': 3000,
    }
    return RouteSettings(**(fields | changes))


def server(instance: str, **changes: Any) -> BackendServer:
    """Create a backend server."""
    fields: dict[str, Any] = {
        'instance': instance,
        'service': 'archive',
        'address': '127.0.0.1:1',
        'data_centre': 'here',
        'slots': 5,
    }
    return BackendServer(**(fields | changes))


def member(name: str, data_centre: str = 'here', peer: str = '') -> Member:
    """Create the entry of another daemon, by default without a relay."""
    return Member(
        name=name,
        incarnation=1,
        state=MemberStatus.ALIVE,
        region='east' if data_centre == 'here' else 'west',
        data_centre=data_centre,
        caller=f'10.0.0.1:{len(name)}',
        operator='',
        peer=peer,
        config_version=1,
    )


def table(version: int, *routes: Route) -> RouteTable:
    """Create a route table, by default with one route to one service."""
    routes_or_default = routes or (
        route('/rafts/', SingleService(service='archive')),
    )
    limits = CallerLimits(
        header_bytes=16_384,
        body_bytes=1000,
        header_ms=2000,
        idle_ms=9000,
    )
    services = [Service(name='archive', connections=41)]
    return route_table(version, routes_or_default, services, limits)


def route(prefix: str, target: Any, **changes: Any) -> Route:
    """Create an idempotent route."""
    fields: dict[str, Any] = {
        'name': f'r{prefix}',
        'host': 'rafts.example',
        'prefix': prefix,
        'target': target,
        'idempotent': True,
        'timeout_ms': 2000,
        'latency_target_ms': 300,
        'max_attempts': 2,
    }
    return Route(**(fields | changes))


def caller_request(**changes: Any) -> CallerRequest:
    """Create a request of a caller."""
    fields: dict[str, Any] = {
        'method': 'GET',
        'target': '/rafts/7',
        'host': 'rafts.example',
        'headers': (),
        'body': None,
        'request_id': 'r-1',
        'left_ms': 2000,
    }
    return CallerRequest(**(fields | changes))


@attrs.define(kw_only=True)
class UnboundedOutput:
    """Stand-in of a log output that never drops lines."""

    dropped: int = 0


@attrs.define(kw_only=True)
class FollowingDaemon:
    """Daemon that synchronises with a stand-in of the store in manual time."""

    time: ManualTime = attrs.field(factory=ManualTime)
    store: FakeStore = attrs.field(factory=FakeStore)
    relays: Any = attrs.field(factory=FakeRelays)
    log: io.StringIO = attrs.field(factory=io.StringIO)
    name: str = 'vm-1'
    peer: Address | None = None
    blackboard: Any = attrs.field(init=False)
    availability: StoreAvailability = attrs.field(init=False)
    follower: StoreFollower = attrs.field(init=False)
    registration: Registration = attrs.field(init=False)
    decisions: DecisionLog = attrs.field(init=False)
    reporter: StoreReporter = attrs.field(init=False)
    fleet_reporter: FleetReporter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components of the daemon."""
        clock = manual_clock(self.time)
        configure_logs(LogSettings(), self.log)
        own_settings = settings(name=self.name, peer=self.peer)
        self.blackboard = route_blackboard(own_settings, clock)
        metrics = route_metrics()
        self.decisions = decision_log(
            clock,
            metrics.count_decision,
            UnboundedOutput(),
            daemon=self.name,
        )
        reporter = StoreReporter(log=self.decisions, metrics=metrics)
        self.reporter = reporter
        self.availability = store_availability(self.blackboard, clock, reporter)
        pools = ServerPools(clock=clock, shares=self.blackboard.shares)
        polling = store_polling(
            self.blackboard.fleet_size, settings().in_force_ms
        )
        copy = store_copy(
            self.availability,
            UpdateApplier(
                blackboard=self.blackboard,
                reporter=reporter,
                evacuations=EvacuationControl(
                    directory=self.blackboard.directory, log=self.decisions
                ),
                pools=pools,
            ),
            self.store.era,
            clock,
        )
        self.fleet_reporter = FleetReporter(log=self.decisions)
        relays = RelayReader(
            sources=RelaySources(
                health=RelayHealth(clock=clock),
                blackboard=self.blackboard,
                availability=self.availability,
            ),
            reporter=self.fleet_reporter,
            client=self.relays,
            copy=copy,
            polling=polling,
        )
        self.follower = store_follower(
            self.store,
            relays,
            copy,
            self.availability,
            polling,
            random.Random(1),
        )
        self.registration = registration(
            self.store,
            self.blackboard,
            1000,
            self.availability,
            clock,
            reporter,
        )
        restoration = StoreRestoration(
            follower=self.follower,
            registration=self.registration,
            availability=self.availability,
            log=self.decisions,
        )
        self.store.era.add_listener(restoration.begin_era)

    @property
    def fleet_page(self) -> FleetPage:
        """Operator page of the daemon."""
        return FleetPage(
            blackboard=self.blackboard,
            availability=self.availability,
            reporter=self.fleet_reporter,
        )

    @property
    def watch_count(self) -> int:
        """Number of watch calls that the store received."""
        return sum(call[0] == 'watch' for call in self.store.calls)

    def apply_listing(self, *updates: StoreUpdate) -> None:
        """Apply a listing that contains the given updates."""
        self.store.listings.append(updates)
        self.follower.step()

    def apply_updates(self, *updates: StoreUpdate) -> float:
        """Apply updates from a watch and return the delay in ms."""
        self.store.watch_results.append(updates)
        return self.follower.step()

    def events(self) -> list[str]:
        """Return the event names of the logged lines."""
        return [line['event'] for line in self._log_lines()]

    def lines(self, *events: str) -> list[dict[str, Any]]:
        """Return the logged lines that have the given event names."""
        return [line for line in self._log_lines() if line['event'] in events]

    def _log_lines(self) -> list[dict[str, Any]]:
        lines = self.log.getvalue().splitlines()
        return [json.loads(line) for line in lines]


def entry_addresses(
    following: FollowingDaemon,
    query: EntryQuery = _NEARBY,
) -> tuple[str, ...]:
    """Return the daemons that a caller gets, by default one nearby."""
    entries = RouteEntries(
        blackboard=following.blackboard, rng=random.Random(1)
    )
    found = entries.answer(query)
    assert found is not None
    return found.addresses
