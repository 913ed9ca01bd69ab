"""Construction of the components that read the platform's store."""

import random

from fennelfork.routes import store_polling
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._common_parts import CommonParts
from fennelfork_daemon.routes._follower import StoreFollower, store_follower
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._update_applier import UpdateApplier


def build_follower(
    base: CommonParts,
    reporter: StoreReporter,
    availability: StoreAvailability,
) -> StoreFollower:
    """Create the follower that keeps the blackboard up to date."""
    return store_follower(
        base.ports.store,
        availability,
        UpdateApplier(
            blackboard=base.blackboard, reporter=reporter, pools=base.pools
        ),
        store_polling(base.blackboard.fleet, base.settings.in_force_ms),
        random.Random(),
    )
