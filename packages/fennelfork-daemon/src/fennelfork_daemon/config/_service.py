"""Everything of a daemon that has to do with its configuration."""

import random

import attrs
import eventlet

from fennelfork import Blackboard, Clock, wall_clock
from fennelfork.placement import config_follower
from fennelfork_daemon.config._activator import ConfigHolder, config_holder
from fennelfork_daemon.config._exchange import ConfigExchange
from fennelfork_daemon.config._patcher import ConfigPatcher
from fennelfork_daemon.config._reader import ConfigReader, config_reader
from fennelfork_daemon.config._status_collector import (
    ConfigSurvey,
    config_survey,
)
from fennelfork_daemon.kv._client import config_key
from fennelfork_daemon.metrics._metrics import CountCost
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.settings._tables import Settings


@attrs.frozen(kw_only=True)
class ConfigService:
    """The parts that follow, give and change the configuration.

    Attributes:
        holder: puts newer documents in force.
        reader: reads and watches the platform.
        exchange: asks, tells and answers peers.
        patcher: writes patches.
        survey: asks all daemons for their version.
    """

    holder: ConfigHolder
    reader: ConfigReader
    exchange: ConfigExchange
    patcher: ConfigPatcher
    survey: ConfigSurvey

    def start(self) -> None:
        """Follow the configuration from now on, in green threads."""
        self.holder.on_taken.append(self.exchange.tell_peers)
        eventlet.spawn_n(self.reader.read_forever)
        eventlet.spawn_n(self.reader.watch_forever)
        eventlet.spawn_n(self.exchange.ask_forever)


def config_service(
    board: Blackboard,
    clock: Clock,
    settings: Settings,
    count_cost: CountCost,
) -> ConfigService:
    """Build the service of a daemon.

    Args:
        board: the facts of this daemon.
        clock: monotonic time.
        settings: endpoints, timeouts and bounds.
        count_cost: told the bytes of calls and documents.
    """
    jitter = random.Random()
    holder = config_holder(board, clock)
    follower = config_follower(clock, jitter)
    key = config_key(settings, clock, count_cost)
    peers = PeerClient()
    survey = config_survey(board, peers, settings)
    return ConfigService(
        holder=holder,
        reader=config_reader(board, holder, key, follower),
        exchange=ConfigExchange(
            board=board,
            holder=holder,
            follower=follower,
            peers=peers,
            clock=clock,
            timeout_ms=settings.timeouts.peer_ms,
            count_cost=count_cost,
        ),
        patcher=ConfigPatcher(
            board=board,
            holder=holder,
            key=key,
            clock=clock,
            civil=wall_clock(),
            jitter=jitter,
            ask_fleet=survey.newest_version,
        ),
        survey=survey,
    )
