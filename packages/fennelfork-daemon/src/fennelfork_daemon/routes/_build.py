"""Assembly of a daemon that serves routes."""

import random

from fennelfork_daemon._in_progress import InProgress
from fennelfork_daemon.logs._decision_log import LogOutput
from fennelfork_daemon.routes._availability import (
    store_availability,
)
from fennelfork_daemon.routes._build_caller_api import (
    attempt_parts,
    route_caller_api,
)
from fennelfork_daemon.routes._build_crash_protection import (
    poison_request_protection,
)
from fennelfork_daemon.routes._build_monitors import build_monitors
from fennelfork_daemon.routes._build_store import (
    build_follower,
    listen_to_eras,
)
from fennelfork_daemon.routes._common_parts import common_parts
from fennelfork_daemon.routes._entries import RouteEntries
from fennelfork_daemon.routes._fleet_page import FleetPage
from fennelfork_daemon.routes._operator_api import operator_api
from fennelfork_daemon.routes._ports import Ports
from fennelfork_daemon.routes._registration import registration
from fennelfork_daemon.routes._reload import ReadSettings, SettingsReload
from fennelfork_daemon.routes._service import RouteService
from fennelfork_daemon.routes._settings import RouteSettings
from fennelfork_daemon.routes._stop import route_stop
from fennelfork_daemon.routes._store_reporter import StoreReporter


def route_service(
    settings: RouteSettings,
    ports: Ports,
    read_settings: ReadSettings,
    log_output: LogOutput,
) -> RouteService:
    """Create a daemon that serves routes on a platform.

    Args:
        settings: settings of the daemon.
        ports: adapter to the platform.
        read_settings: function that reads the settings again on a reload.
        log_output: destination of log lines.
    """
    base = common_parts(settings, ports, log_output)
    reporter = StoreReporter(log=base.log, metrics=base.metrics)
    availability = store_availability(base.blackboard, base.clock, reporter)
    base.metrics.export_store_age(lambda: availability.data_age_ms)
    base.metrics.export_limit_share(
        lambda: base.blackboard.fleet_shares.retries.share
    )
    base.metrics.export_quarantine(base.blackboard.quarantine)
    own_registration = registration(
        base.ports.store,
        base.blackboard,
        settings.least_lease_ms,
        availability,
        base.clock,
        reporter,
    )
    in_progress = InProgress()
    follower = build_follower(base, reporter, availability)
    listen_to_eras(base, follower, own_registration, availability)
    protection = poison_request_protection(
        base, own_registration, reporter, follower.polling
    )
    reload = SettingsReload(
        settings=settings,
        retry_budgets=base.retry_budgets,
        fleet_shares=base.blackboard.fleet_shares,
        read_settings=read_settings,
        log=base.log,
    )
    stop = route_stop(
        settings,
        base.clock,
        own_registration,
        follower,
        in_progress,
        base.log,
    )
    return RouteService(
        blackboard=base.blackboard,
        entries=RouteEntries(blackboard=base.blackboard, rng=random.Random()),
        settings=settings,
        face=route_caller_api(
            base,
            attempt_parts(base, protection),
            availability,
            stop.times,
        ),
        operator_api=operator_api(
            base.metrics,
            base.blackboard,
            protection.guard,
            FleetPage(
                blackboard=base.blackboard,
                availability=availability,
                reporter=base.fleet_reporter,
            ),
        ),
        follower=follower,
        background_tasks=(
            follower.run,
            own_registration.run,
            reload.run,
            protection.publisher.run,
            *build_monitors(base, protection),
        ),
        pools=base.pools,
        stop=stop,
        reload=reload,
        in_progress=in_progress,
        log=base.log,
    )
