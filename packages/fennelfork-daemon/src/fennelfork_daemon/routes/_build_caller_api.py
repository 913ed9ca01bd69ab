"""Construction of the caller API."""

import random
from collections.abc import Callable

from fennelfork import StopTimes
from fennelfork.routes import (
    DispatchParts,
    Distances,
    LatencyBaselines,
    Selector,
)
from fennelfork_daemon.routes._attempt_runner import AttemptParts
from fennelfork_daemon.routes._authorization import Authorizer
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._build_crash_protection import (
    PoisonRequestProtection,
)
from fennelfork_daemon.routes._build_quota import build_quotas
from fennelfork_daemon.routes._caller_api import RouteCallerApi
from fennelfork_daemon.routes._common_parts import CommonParts
from fennelfork_daemon.routes._initial_routes import InitialRoutes
from fennelfork_daemon.routes._request_builder import RequestBuilder
from fennelfork_daemon.routes._stop_gate import StopGate


def attempt_parts(
    base: CommonParts, protection: PoisonRequestProtection
) -> AttemptParts:
    """Build the objects that the attempts of all requests share."""
    selector = Selector(
        directory=base.blackboard.directory,
        states=base.blackboard.states,
        distances=Distances(
            data_centre=base.settings.data_centre,
            region_of=base.settings.region_of,
        ),
        shares=base.blackboard.shares,
        cold_limits=base.blackboard.cold_limits,
        clock=base.clock,
        rng=random.Random(),
    )
    return AttemptParts(
        clock=base.clock,
        pools=base.pools,
        selector=selector,
        codec=base.ports.backends,
        reporter=protection.reporter,
        guard=protection.guard,
    )


def route_caller_api(
    base: CommonParts,
    parts: AttemptParts,
    availability: StoreAvailability,
    stop_times: Callable[[], StopTimes],
) -> RouteCallerApi:
    """Build the caller API of a daemon.

    Args:
        base: objects that all parts of the daemon share.
        parts: objects that the attempts of all requests share.
        availability: availability of the store.
        stop_times: function that returns the time that the daemon has left
            for requests.
    """
    baselines = LatencyBaselines()
    return RouteCallerApi(
        initial_routes=InitialRoutes(
            blackboard=base.blackboard,
            availability=availability,
            clock=base.clock,
        ),
        authorizer=Authorizer(
            policy=base.settings.access,
            availability=availability,
            codec=base.ports.callers,
        ),
        builder=_request_builder(base, parts, baselines),
        answer_delays=base.answer_delays,
        clock=base.clock,
        codec=base.ports.callers,
        attempt_parts=parts,
        baselines=baselines,
        limits=base.limits,
        quotas=build_quotas(base, availability),
        stop_gate=StopGate(
            baselines=baselines,
            reporter=parts.reporter,
            stop_times=stop_times,
        ),
    )


def _request_builder(
    base: CommonParts, parts: AttemptParts, baselines: LatencyBaselines
) -> RequestBuilder:
    return RequestBuilder(
        clock=base.clock,
        attempt_parts=parts,
        dispatch_parts=DispatchParts(
            selector=parts.selector,
            retry_budgets=base.retry_budgets,
            home_regions_of=base.blackboard.home_regions_of,
            answer_delays=base.answer_delays,
        ),
        find_workspace=base.blackboard.find_workspace,
        baselines=baselines,
        rng=random.Random(),
    )
