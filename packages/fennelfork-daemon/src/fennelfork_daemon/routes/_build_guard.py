"""Puts together what watches over requests."""

import random

import attrs

from fennelfork.routes import StorePolling
from fennelfork_daemon.routes._foundation import Foundation
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._request_reporter import RequestReporter
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._suspicion_teller import SuspicionTeller


@attrs.frozen(kw_only=True)
class RequestWatch:
    """What watches over the requests of one daemon.

    Attributes:
        reporter: logs and counts them.
        guard: keeps those away from servers that end them.
        teller: tells other daemons of those.
    """

    reporter: RequestReporter
    guard: RequestGuard
    teller: SuspicionTeller


def request_watch(
    base: Foundation,
    registration: Registration,
    judgements: StoreReporter,
    pace: StorePolling,
) -> RequestWatch:
    """Build it for a daemon that starts now.

    Args:
        base: of the daemon.
        registration: in the store, whose lease some entries share.
        judgements: logs what is known of requests that ended servers.
        pace: at which the store is called.
    """
    reporter = RequestReporter(
        log=base.log,
        clock=base.clock,
        metrics=base.metrics,
    )
    teller = SuspicionTeller(
        exchange=base.board.quarantine.exchange,
        store=base.ports.store,
        lease=lambda: registration.lease,
        pace=pace,
        fleet=base.board.fleet,
        clock=base.clock,
        rng=random.Random(),
    )
    guard = RequestGuard(
        quarantine=base.board.quarantine,
        store=base.ports.store,
        teller=teller,
        requests=reporter,
        judgements=judgements,
    )
    return RequestWatch(reporter=reporter, guard=guard, teller=teller)
