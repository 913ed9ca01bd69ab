"""Service that follows, distributes and patches the configuration."""

import random

import attrs
import eventlet

from fennelfork import Blackboard, Clock, wall_clock
from fennelfork.placement import config_follower
from fennelfork_daemon.config._activator import (
    ConfigActivator,
    config_activator,
)
from fennelfork_daemon.config._exchange import ConfigExchange
from fennelfork_daemon.config._patcher import ConfigPatcher
from fennelfork_daemon.config._reader import ConfigReader, config_reader
from fennelfork_daemon.config._status_collector import (
    ConfigStatusCollector,
    config_status_collector,
)
from fennelfork_daemon.kv._client import config_key
from fennelfork_daemon.metrics._metrics import CountCost
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.settings._tables import Settings


@attrs.frozen(kw_only=True)
class ConfigService:
    """Components that follow, distribute and patch the configuration.

    Attributes:
        activator: activates newer documents.
        reader: reads and watches the configuration key in the platform.
        exchange: exchanges the configuration with peers.
        patcher: writes patches to the platform.
        status_collector: queries the configuration status of all daemons.
    """

    activator: ConfigActivator
    reader: ConfigReader
    exchange: ConfigExchange
    patcher: ConfigPatcher
    status_collector: ConfigStatusCollector

    def start(self) -> None:
        """Start to follow the configuration in green threads."""
        self.activator.on_activated.append(self.exchange.notify_peers)
        eventlet.spawn_n(self.reader.read_forever)
        eventlet.spawn_n(self.reader.watch_forever)
        eventlet.spawn_n(self.exchange.poll_forever)


def config_service(
    blackboard: Blackboard,
    clock: Clock,
    settings: Settings,
    count_cost: CountCost,
) -> ConfigService:
    """Build the service that follows and patches the configuration.

    Args:
        blackboard: facts that the components of this daemon share.
        clock: monotonic clock.
        settings: settings with endpoints, timeouts and limits.
        count_cost: callback that counts the bytes of calls and documents.
    """
    jitter = random.Random()
    activator = config_activator(blackboard, clock)
    follower = config_follower(clock, jitter)
    key = config_key(settings, clock, count_cost)
    peers = PeerClient()
    status_collector = config_status_collector(blackboard, peers, settings)
    return ConfigService(
        activator=activator,
        reader=config_reader(blackboard, activator, key, follower),
        exchange=ConfigExchange(
            blackboard=blackboard,
            activator=activator,
            follower=follower,
            peers=peers,
            clock=clock,
            timeout_ms=settings.timeouts.peer_ms,
            count_cost=count_cost,
        ),
        patcher=ConfigPatcher(
            blackboard=blackboard,
            activator=activator,
            key=key,
            clock=clock,
            wall_clock=wall_clock(),
            jitter=jitter,
            query_fleet_version=status_collector.highest_version,
        ),
        status_collector=status_collector,
    )
