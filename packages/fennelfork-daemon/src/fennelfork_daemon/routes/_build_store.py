"""Construction of the components that read the platform's store."""

import random

from fennelfork.routes import RelayHealth, store_polling
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._common_parts import CommonParts
from fennelfork_daemon.routes._evacuation_control import EvacuationControl
from fennelfork_daemon.routes._follower import StoreFollower, store_follower
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._relay_reader import RelayReader
from fennelfork_daemon.routes._relay_sources import RelaySources
from fennelfork_daemon.routes._store_copy import store_copy
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._store_restoration import StoreRestoration
from fennelfork_daemon.routes._update_applier import UpdateApplier


def build_follower(
    base: CommonParts,
    reporter: StoreReporter,
    availability: StoreAvailability,
) -> StoreFollower:
    """Create the follower that keeps the blackboard up to date."""
    applier = UpdateApplier(
        blackboard=base.blackboard,
        reporter=reporter,
        evacuations=EvacuationControl(
            directory=base.blackboard.directory, log=base.log
        ),
        pools=base.pools,
    )
    settings = base.settings
    polling = store_polling(
        base.blackboard.fleet_size,
        settings.access.max_age_ms(settings.in_force_ms),
    )
    sources = RelaySources(
        health=RelayHealth(clock=base.clock),
        blackboard=base.blackboard,
        availability=availability,
    )
    copy = store_copy(availability, applier, base.ports.store.era, base.clock)
    relays = RelayReader(
        sources=sources,
        reporter=base.fleet_reporter,
        client=base.ports.relays,
        copy=copy,
        polling=polling,
    )
    return store_follower(
        base.ports.store, relays, copy, availability, polling, random.Random()
    )


def listen_to_eras(
    base: CommonParts,
    follower: StoreFollower,
    registration: Registration,
    availability: StoreAvailability,
) -> None:
    """Let the components react when the store begins another era."""
    restoration = StoreRestoration(
        follower=follower,
        registration=registration,
        availability=availability,
        log=base.log,
    )
    base.ports.store.era.add_listener(restoration.begin_era)
