"""Lifetime of the runners of shards at a home daemon."""

import eventlet
from daemon_builders_answers import blackboard_with_shards
from daemon_builders_home import refuse_as_draining

from fennelfork import ManualTime, manual_clock
from fennelfork_daemon.home._runners import ShardName, ShardRunners
from fennelfork_daemon.metrics._metrics import daemon_metrics
from fennelfork_daemon.settings._tables import LimitSettings

_NAME = ShardName(front='raft', shard='low')
_UNUSED_MS = 120_000


def _runners(time: ManualTime) -> ShardRunners:
    return ShardRunners(
        blackboard=blackboard_with_shards((_NAME.shard,)),
        clock=manual_clock(time),
        limits=LimitSettings(),
        metrics=daemon_metrics(8),
    )


def _poll_once(runners: ShardRunners) -> None:
    polling = eventlet.spawn(runners.poll_forever)
    eventlet.sleep(0.1)
    polling.kill()


class TestUnusedShards:
    """Guard against a home daemon that forgets which servers drain."""

    def test_unused_shard_is_dropped(self) -> None:
        """The runner of a shard without requests is released."""
        time = ManualTime()
        runners = _runners(time)
        runners.get_runner(_NAME)
        time.advance(_UNUSED_MS)
        _poll_once(runners)
        assert not runners.server_statuses

    def test_draining_server_is_remembered(self) -> None:
        """A refusal outlasts any time without requests."""
        time = ManualTime()
        runners = _runners(time)
        runner = runners.get_runner(_NAME)
        refuse_as_draining(runner.scheduler, 'raft-a')
        time.advance(_UNUSED_MS)
        _poll_once(runners)
        runner = runners.get_runner(_NAME)
        assert runner.scheduler.servers.drain_state('raft-a').is_draining
