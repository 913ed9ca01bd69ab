"""Fleet services of a daemon: membership, VM list and graceful stop."""

import random

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from fennelfork import Blackboard, Clock, StopPolicy
from fennelfork.membership import VmListSchedule
from fennelfork_daemon._in_progress import (
    Application,
    CountedApplication,
    InProgress,
)
from fennelfork_daemon._stop_service import StopService, stop_service
from fennelfork_daemon.callers._entries_api import EntriesApi
from fennelfork_daemon.execute._ticket_issuer import TicketIssuer
from fennelfork_daemon.http._router import Route
from fennelfork_daemon.logs._logs import state_log
from fennelfork_daemon.membership._metrics import membership_metrics
from fennelfork_daemon.membership._service import (
    MembershipService,
    membership_service,
)
from fennelfork_daemon.membership._vm_list import VmListReader, vm_list_reader
from fennelfork_daemon.metrics._metrics import DaemonMetrics
from fennelfork_daemon.settings._tables import Settings


@attrs.frozen(kw_only=True)
class Fleet:
    """Membership of this daemon in the fleet, and its graceful stop.

    Attributes:
        members: membership service.
        in_progress: counter of the requests that a graceful stop waits for.
        operator_routes: routes of the stop on the operator API.
    """

    members: MembershipService
    in_progress: InProgress
    operator_routes: tuple[Route, ...]
    _settings: Settings
    _blackboard: Blackboard
    _vm_list: VmListReader
    _stop: StopService

    def start(self) -> None:
        """Start the membership, the VM list reader and signal handling."""
        self._stop.listen_to_signals()
        eventlet.spawn_n(self.members.run)
        eventlet.spawn_n(self._vm_list.run)

    def entry_routes(self, issuer: TicketIssuer) -> tuple[Route, ...]:
        """Return the routes that list daemon addresses for callers."""
        self._stop.on_leave.append(issuer.stop)
        return EntriesApi(
            blackboard=self._blackboard,
            rng=random.Random(),
            ttl_ms=self._settings.timeouts.entry_ttl_ms,
            issuer=issuer,
        ).routes

    def count_requests(self, application: Application) -> CountedApplication:
        """Wrap the caller API so that a stop waits for requests in progress."""
        return CountedApplication(
            application=application,
            in_progress=self.in_progress,
            is_leaving=self._stop.is_leaving,
        )

    def run_until_stopped(self, caller_thread: GreenThread) -> int:
        """Run the graceful stop once requested; see `StopService`."""
        return self._stop.run_until_stopped(caller_thread)


def fleet(
    settings: Settings,
    clock: Clock,
    blackboard: Blackboard,
    metrics: DaemonMetrics,
) -> Fleet:
    """Build the fleet services of the daemon that `blackboard` describes."""
    log = state_log(daemon=blackboard.local.name)
    in_progress = InProgress()
    members = membership_service(
        blackboard,
        clock,
        membership_metrics(metrics),
    )
    policy = StopPolicy(
        entry_ttl_ms=settings.timeouts.entry_ttl_ms,
        stop_ms=settings.timeouts.stop_ms,
    )
    stop = stop_service(policy, clock, members, in_progress, log)
    return Fleet(
        settings=settings,
        blackboard=blackboard,
        members=members,
        in_progress=in_progress,
        operator_routes=stop.routes,
        vm_list=vm_list_reader(
            blackboard,
            settings,
            members.controller,
            VmListSchedule(rng=random.Random()),
        ),
        stop=stop,
    )
