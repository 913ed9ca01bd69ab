"""Construction of the components that quarantine poison requests."""

import random

import attrs

from fennelfork.routes import StorePolling
from fennelfork_daemon.routes._common_parts import CommonParts
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._request_reporter import RequestReporter
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._suspicion_publisher import SuspicionPublisher


@attrs.frozen(kw_only=True)
class PoisonRequestProtection:
    """Components that keep poison requests from crashing backend servers.

    Attributes:
        reporter: logs and metrics of requests.
        guard: admission of suspected and quarantined requests.
        publisher: publisher of suspected poison requests to other daemons.
    """

    reporter: RequestReporter
    guard: RequestGuard
    publisher: SuspicionPublisher


def poison_request_protection(
    base: CommonParts,
    registration: Registration,
    store_reporter: StoreReporter,
    polling: StorePolling,
) -> PoisonRequestProtection:
    """Build the components that detect and quarantine poison requests.

    Args:
        base: objects that all parts of the daemon share.
        registration: registration in the store, whose lease is used for
            entries that are not durable.
        store_reporter: log of changes in the status of requests.
        polling: intervals of the calls to the store.
    """
    reporter = RequestReporter(
        log=base.log,
        clock=base.clock,
        metrics=base.metrics,
    )
    publisher = SuspicionPublisher(
        exchange=base.blackboard.quarantine.exchange,
        store=base.ports.store,
        lease=lambda: registration.lease,
        polling=polling,
        fleet_size=base.blackboard.fleet_size,
        clock=base.clock,
        rng=random.Random(),
    )
    guard = RequestGuard(
        quarantine=base.blackboard.quarantine,
        store=base.ports.store,
        publisher=publisher,
        request_reporter=reporter,
        store_reporter=store_reporter,
    )
    return PoisonRequestProtection(
        reporter=reporter, guard=guard, publisher=publisher
    )
