"""Puts together what answers the requests of callers."""

import random

from fennelfork.routes import (
    DispatchParts,
    Distances,
    LatencyBaselines,
    Selector,
)
from fennelfork_daemon.routes._build_guard import RequestWatch
from fennelfork_daemon.routes._caller_calls import CallParts
from fennelfork_daemon.routes._contact import StoreContact
from fennelfork_daemon.routes._face import RouteFace
from fennelfork_daemon.routes._first_routes import FirstRoutes
from fennelfork_daemon.routes._foundation import Foundation


def call_parts(base: Foundation, watch: RequestWatch) -> CallParts:
    """Build what the calls of all requests share."""
    selector = Selector(
        directory=base.board.directory,
        states=base.board.states,
        distances=Distances(
            data_centre=base.settings.data_centre,
            region_of=base.settings.region_of,
        ),
        shares=base.board.shares,
        clock=base.clock,
        rng=random.Random(),
    )
    return CallParts(
        clock=base.clock,
        pools=base.pools,
        selector=selector,
        codec=base.ports.backends,
        reporter=watch.reporter,
        guard=watch.guard,
    )


def route_face(
    base: Foundation,
    calls: CallParts,
    contact: StoreContact,
) -> RouteFace:
    """Build the face of a daemon, which asks the store by a contact."""
    return RouteFace(
        first_routes=FirstRoutes(
            board=base.board,
            contact=contact,
            clock=base.clock,
        ),
        clock=base.clock,
        codec=base.ports.callers,
        calls=calls,
        dispatch_parts=DispatchParts(
            selector=calls.selector,
            retry_budgets=base.retry_budgets,
        ),
        baselines=LatencyBaselines(),
        limits=base.limits,
        rng=random.Random(),
    )
