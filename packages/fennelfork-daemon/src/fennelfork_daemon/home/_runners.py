"""The runners of the shards that this daemon is asked for as a home."""

import functools
from typing import Final

import attrs
import eventlet

from fennelfork import Blackboard, Clock
from fennelfork.home import ServerStatus
from fennelfork_daemon.backend._client import BackendClient
from fennelfork_daemon.home._settings import home_settings, server_facts
from fennelfork_daemon.home._shard import ShardRunner, shard_runner
from fennelfork_daemon.metrics._metrics import DaemonMetrics
from fennelfork_daemon.settings._tables import LimitSettings

_POLL_MS: Final = 500
_POLL_TIMEOUT_MS: Final = 400
# A shard that nobody asked for in so long has another home now.
_UNUSED_MS: Final = 60_000
_MS: Final = 1000


@attrs.frozen(kw_only=True)
class ShardName:
    """Names one shard of one front."""

    front: str
    shard: str


@attrs.define(kw_only=True)
class _Kept:
    """A runner, and what it was last configured from."""

    runner: ShardRunner
    configured: tuple[int, int] = (-1, -1)
    used_ms: float = 0
    learning: eventlet.semaphore.Semaphore = attrs.field(
        factory=eventlet.semaphore.Semaphore,
    )


@attrs.define(kw_only=True)
class HomeRunners:
    """Builds, configures and polls the runners of shards."""

    _board: Blackboard
    _clock: Clock
    _limits: LimitSettings
    _metrics: DaemonMetrics
    _kept: dict[ShardName, _Kept] = attrs.field(factory=dict)

    def of(self, name: ShardName) -> ShardRunner | None:
        """Give the runner of a shard, which knows its servers.

        Returns:
            The runner, or none if the shard is not configured here.
        """
        kept = self._configured(name)
        if kept is None:
            return None
        kept.used_ms = self._clock.now_ms()
        if not kept.runner.scheduler.servers.has_snapshots:
            self._learn(kept)
        return kept.runner

    @property
    def sights(self) -> dict[tuple[str, str], tuple[ServerStatus, ...]]:
        """The servers of each shard asked for here, by front and shard."""
        return {
            (name.front, name.shard): kept.runner.scheduler.server_statuses
            for name, kept in self._kept.items()
        }

    def poll_forever(self) -> None:
        """Read the health endpoints of the servers in use, again and again."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            eventlet.spawn_n(self._poll_round)
            eventlet.sleep(_POLL_MS / _MS)

    def _learn(self, kept: _Kept) -> None:
        """Ask the servers of a new runner, once for all who wait for it."""
        with kept.learning:
            if not kept.runner.scheduler.servers.has_snapshots:
                _poll_all(kept.runner)

    def _poll_round(self) -> None:
        self._drop_unused()
        pool = eventlet.GreenPool()
        for name in tuple(self._kept):
            kept = self._configured(name)
            if kept is not None:
                pool.spawn_n(_poll_all, kept.runner)
        pool.waitall()

    def _drop_unused(self) -> None:
        oldest_ms = self._clock.now_ms() - _UNUSED_MS
        for name, kept in tuple(self._kept.items()):
            if kept.used_ms < oldest_ms and not kept.runner.scheduler.busy:
                kept.runner.connect({})
                self._kept.pop(name)

    def _configured(self, name: ShardName) -> _Kept | None:
        """Bring a runner up to the configuration in force."""
        front = self._board.front(name.front)
        if front is None or name.shard not in front.shards:
            return None
        kept = self._kept.get(name)
        if kept is None:
            kept = _Kept(runner=self._new_runner(name.front))
            self._kept[name] = kept
        facts = (self._board.config_version, len(self._board.members))
        if kept.configured != facts:
            kept.configured = facts
            self._configure(kept.runner, name)
        return kept

    def _configure(self, runner: ShardRunner, name: ShardName) -> None:
        board = self._board
        front = board.document.fronts[name.front]
        servers = front.shards[name.shard].servers
        actions = runner.scheduler.servers.configure(
            home_settings(board.document, front, self._limits.queue),
            [
                server_facts(board, server_name, server)
                for server_name, server in servers.items()
            ],
        )
        runner.connect(dict(servers))
        runner.carry_out(actions)

    def _new_runner(self, front: str) -> ShardRunner:
        return shard_runner(
            self._clock,
            self._board.local.name,
            self._limits.reply_bytes,
            functools.partial(self._metrics.count_failure, front),
        )


def _poll_all(runner: ShardRunner) -> None:
    pool = eventlet.GreenPool()
    for name, client in tuple(runner.clients.items()):
        pool.spawn_n(_poll, runner, name, client)
    pool.waitall()


def _poll(runner: ShardRunner, name: str, client: BackendClient) -> None:
    """Pass a server's report on; of silence its own requests will tell."""
    client.pool.retire()
    report = client.health(_POLL_TIMEOUT_MS).value_or(None)
    if report is not None:
        actions = runner.scheduler.servers.on_report(name, report)
        runner.carry_out(actions)
