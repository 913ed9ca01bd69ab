"""Stand-ins for the parts of a daemon that serves routes, for tests."""

import io
import json
import random
from typing import Any

import attrs
import eventlet
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, ManualTime, manual_clock, not_run
from fennelfork.membership import Member, MemberStatus
from fennelfork.routes import (
    BackendServer,
    CallerLimits,
    RetryPolicy,
    Route,
    RouteTable,
    Service,
    SingleService,
    SuspicionRecord,
    SuspicionUpdates,
    WatchTimeouts,
    route_table,
    store_polling,
)
from fennelfork_daemon._address import Address
from fennelfork_daemon.logs._budget import DecisionLog, decision_log
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.routes import (
    Ask,
    Changes,
    Fact,
    HistoryGone,
    Listing,
    RouteSettings,
)
from fennelfork_daemon.routes._board import route_blackboard
from fennelfork_daemon.routes._contact import StoreContact, store_availability
from fennelfork_daemon.routes._follower import StoreFollower, store_follower
from fennelfork_daemon.routes._metrics import route_metrics
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._update_applier import UpdateApplier
from fennelfork_daemon.settings._tables import LogSettings

AWAY = not_run(FailureCode.PLATFORM, 'the store answered 503')
# A watch that is never answered, as its connection carries nothing any more.
SILENCE = 'silence'
# Longer than any test waits.
_FOREVER_S = 60
_ANYWHERE = Address(host='127.0.0.1', port=0)


def settings(**changes: Any) -> RouteSettings:
    """Build the settings of a daemon on loopback."""
    fields: dict[str, Any] = {
        'name': 'vm-1',
        'region': 'east',
        'data_centre': 'here',
        'region_of': {'here': 'east', 'far': 'west'},
        'caller': _ANYWHERE,
        'readiness': _ANYWHERE,
        'entries': _ANYWHERE,
        'operator': None,
        'store': _ANYWHERE,
        'repeats': RetryPolicy(ratio=0.2, fixed=58, window_ms=10_000),
        'stop_ms': 6000,
        'least_lease_ms': 1000,
        'in_force_ms': 3000,
    }
    return RouteSettings(**(fields | changes))


def server(instance: str, **changes: Any) -> BackendServer:
    """Build a backend server."""
    fields: dict[str, Any] = {
        'instance': instance,
        'service': 'archive',
        'address': '127.0.0.1:1',
        'data_centre': 'here',
        'slots': 5,
    }
    return BackendServer(**(fields | changes))


def member(name: str, data_centre: str = 'here') -> Member:
    """Build another daemon."""
    return Member(
        name=name,
        incarnation=1,
        state=MemberStatus.ALIVE,
        region='east' if data_centre == 'here' else 'west',
        data_centre=data_centre,
        caller=f'10.0.0.1:{len(name)}',
        operator='',
        peer='',
        config_version=1,
    )


def table(version: int, *routes: Route) -> RouteTable:
    """Build the routes of one version, by default one to one service."""
    known = routes or (route('/rafts/', SingleService(service='archive')),)
    limits = CallerLimits(
        header_bytes=16_384,
        body_bytes=1000,
        header_ms=2000,
        idle_ms=9000,
    )
    services = [Service(name='archive', connections=41)]
    return route_table(version, known, services, limits)


def route(prefix: str, target: Any, **changes: Any) -> Route:
    """Build an idempotent route."""
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


def ask(**changes: Any) -> Ask:
    """Build a request of a caller."""
    fields: dict[str, Any] = {
        'method': 'GET',
        'target': '/rafts/7',
        'host': 'rafts.example',
        'headers': (),
        'body': None,
        'request_id': 'r-1',
        'left_ms': 2000,
    }
    return Ask(**(fields | changes))


@attrs.define(kw_only=True)
class FakeStore:
    """A store that answers what a test says, and notes what it was asked."""

    listed: list[Any] = attrs.field(factory=list)
    told: list[Any] = attrs.field(factory=list)
    claims: list[Any] = attrs.field(factory=list)
    changed: list[Any] = attrs.field(factory=list)
    renewals: list[Any] = attrs.field(factory=list)
    calls: list[tuple[Any, ...]] = attrs.field(factory=list)
    leases: int = 0

    def list_all(self, timeout_ms: float) -> Result[Listing, Failure]:
        """Give the next listing, a failure if there is none."""
        self.calls.append(('read_all', timeout_ms))
        if not self.listed:
            return Bad(AWAY)
        updates = self.listed.pop(0)
        if updates is SILENCE:
            eventlet.sleep(_FOREVER_S)
        return Success(Listing(updates=tuple(updates), revision=5))

    def watch(
        self,
        after: int,
        timeouts: WatchTimeouts,
    ) -> Result[Changes | HistoryGone, Failure]:
        """Give the next changes, a failure if there are none."""
        self.calls.append(('changes', after, timeouts))
        if not self.changed:
            return Bad(AWAY)
        updates = self.changed.pop(0)
        if updates is SILENCE:
            eventlet.sleep(_FOREVER_S)
        if isinstance(updates, HistoryGone):
            return Success(updates)
        return Success(Changes(updates=tuple(updates), revision=after + 1))

    def open_lease(self, ttl_ms: float) -> Result[int, Failure]:
        """Open a lease."""
        self.calls.append(('open_lease', ttl_ms))
        self.leases += 1
        return Success(self.leases)

    def renew(self, lease: int) -> Result[bool, Failure]:
        """Give the next answer to a renewal."""
        self.calls.append(('renew', lease))
        return self.renewals.pop(0)

    def register(self, member: Member, lease: int) -> Result[bool, Failure]:
        """Take a registration."""
        self.calls.append(('register', member.name, lease))
        return Success(True)

    def publish(
        self, updates: SuspicionUpdates, lease: int
    ) -> Result[bool, Failure]:
        """Take news of requests, if a test says so."""
        self.calls.append(('tell', updates, lease))
        return self.told.pop(0) if self.told else Success(True)

    def claim(
        self,
        record: SuspicionRecord,
        revision: int,
    ) -> Result[bool, Failure]:
        """Give the next answer to a claim."""
        self.calls.append(('claim', record, revision))
        return self.claims.pop(0)

    def end_lease(self, lease: int) -> Result[bool, Failure]:
        """End a lease."""
        self.calls.append(('end_lease', lease))
        return Success(True)


@attrs.define(kw_only=True)
class EndlessOutput:
    """Somewhere log lines go that always has room."""

    dropped: int = 0


@attrs.define(kw_only=True)
class Following:
    """A daemon that follows a stand-in of the store, in manual time."""

    time: ManualTime = attrs.field(factory=ManualTime)
    store: FakeStore = attrs.field(factory=FakeStore)
    log: io.StringIO = attrs.field(factory=io.StringIO)
    board: Any = attrs.field(init=False)
    contact: StoreContact = attrs.field(init=False)
    follower: StoreFollower = attrs.field(init=False)
    registration: Registration = attrs.field(init=False)
    decisions: DecisionLog = attrs.field(init=False)
    reporter: StoreReporter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        clock = manual_clock(self.time)
        configure_logs(LogSettings(), self.log)
        self.board = route_blackboard(settings(), clock)
        metrics = route_metrics()
        self.decisions = decision_log(
            clock,
            metrics.count_decision,
            EndlessOutput(),
            daemon='vm-1',
        )
        reporter = StoreReporter(log=self.decisions, metrics=metrics)
        self.reporter = reporter
        self.contact = store_availability(self.board, clock, reporter)
        pools = ServerPools(clock=clock, shares=self.board.shares)
        self.follower = store_follower(
            self.store,
            self.contact,
            UpdateApplier(board=self.board, reporter=reporter, pools=pools),
            store_polling(self.board.fleet, settings().in_force_ms),
            random.Random(1),
        )
        self.registration = Registration(
            store=self.store,
            board=self.board,
            min_lease_ms=1000,
            contact=self.contact,
            clock=clock,
            reporter=reporter,
        )

    @property
    def watches(self) -> int:
        """How often the store was asked for changes."""
        return sum(call[0] == 'changes' for call in self.store.calls)

    def take_list(self, *updates: Fact) -> None:
        """Have the store list facts, and take them."""
        self.store.listed.append(updates)
        self.follower.step()

    def change(self, *updates: Fact) -> float:
        """Have the store tell changes, and take them."""
        self.store.changed.append(updates)
        return self.follower.step()

    def events(self) -> list[str]:
        """Give the kinds of the lines that were logged."""
        return [line['event'] for line in self._logged()]

    def lines(self, *events: str) -> list[dict[str, Any]]:
        """Give the lines of some kinds that were logged."""
        return [line for line in self._logged() if line['event'] in events]

    def _logged(self) -> list[dict[str, Any]]:
        lines = self.log.getvalue().splitlines()
        return [json.loads(line) for line in lines]
