"""Settings of shard schedulers, derived from the configuration."""

from typing import Final

from fennelfork import Blackboard
from fennelfork.config import (
    Document,
    Front,
    HedgePolicyName,
    HedgeSettings,
    Server,
)
from fennelfork.home import HomeSettings, ServerConfig
from fennelfork.placement import RoutingMode, limit_slots
from fennelfork.servers import FixedHedge, HedgePolicy, NoHedge, QuantileHedge
from fennelfork.shares import Shares

# Two daemons may act as home daemon of a shard at the same time. Each uses at
# most its share of the connections of a server.
_MAX_HOMES: Final = 2


def home_settings(
    document: Document,
    front: Front,
    queue_limit: int,
) -> HomeSettings:
    """Return the scheduler settings for the shards of a front.

    Args:
        document: active configuration.
        front: configuration of the front.
        queue_limit: maximum number of queued sub-queries for one shard.
    """
    return HomeSettings(
        hedge=_hedge_policy(front.hedge),
        hedge_ratio=front.hedge.budget,
        shares=Shares(
            tenants={
                name: tenant.weight for name, tenant in document.tenants.items()
            },
            classes={
                name: traffic.weight
                for name, traffic in document.classes.items()
            },
        ),
        queue_limit=queue_limit,
    )


def server_config(
    blackboard: Blackboard,
    name: str,
    server: Server,
) -> ServerConfig:
    """Return the slots and connections of a server for this daemon."""
    daemons = max(1, len(blackboard.members))
    slot_limit = limit_slots(server, blackboard.routing, daemons)
    daemons_sharing = (
        _MAX_HOMES if blackboard.routing is RoutingMode.HOME else daemons
    )
    return ServerConfig(
        name=name,
        slots=slot_limit.slots,
        connections=max(1, server.connections // daemons_sharing),
        address=server.address,
    )


def _hedge_policy(hedge: HedgeSettings) -> HedgePolicy:
    match hedge.policy:
        case HedgePolicyName.NONE:
            return NoHedge()
        case HedgePolicyName.FIXED:
            return FixedHedge(delay_ms=hedge.delay_ms)
        case _:
            return QuantileHedge(
                quantile=hedge.quantile,
                delay_ms=hedge.delay_ms,
            )
