"""Construction of the protection against poison requests."""

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
class CrashProtection:
    """Protection of the backend servers against poison requests.

    Attributes:
        reporter: logs and metrics of requests.
        guard: admission of suspected and quarantined requests.
        publisher: publisher of suspicions to other daemons.
    """

    reporter: RequestReporter
    guard: RequestGuard
    publisher: SuspicionPublisher


def crash_protection(
    base: CommonParts,
    registration: Registration,
    store_reporter: StoreReporter,
    polling: StorePolling,
) -> CrashProtection:
    """Build the protection against poison requests for a daemon.

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
        fleet=base.blackboard.fleet,
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
    return CrashProtection(reporter=reporter, guard=guard, publisher=publisher)
