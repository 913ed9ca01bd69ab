"""Runners of the shards for which this daemon acts as the home daemon."""

import functools
from typing import Final

import attrs
import eventlet

from fennelfork import Blackboard, Clock
from fennelfork.config import Front
from fennelfork.home import ServerStatus
from fennelfork_daemon.backend._client import BackendClient
from fennelfork_daemon.home._settings import home_settings, server_config
from fennelfork_daemon.home._shard import ShardRunner, shard_runner
from fennelfork_daemon.logs._logs import state_log
from fennelfork_daemon.metrics._metrics import DaemonMetrics
from fennelfork_daemon.settings._tables import LimitSettings

_POLL_INTERVAL_MS: Final = 500
_POLL_TIMEOUT_MS: Final = 400
# After this time without requests, another daemon is the home daemon.
_MAX_UNUSED_MS: Final = 60_000
_MS: Final = 1000


@attrs.frozen(kw_only=True)
class ShardName:
    """Name of a shard and its front."""

    front: str
    shard: str


@attrs.define(kw_only=True)
class _RunnerEntry:
    """Runner with the configuration state that was last applied."""

    runner: ShardRunner
    configured_for: tuple[int, int] = (-1, -1)
    last_used_ms: float = 0
    poll_lock: eventlet.semaphore.Semaphore = attrs.field(
        factory=eventlet.semaphore.Semaphore,
    )


@attrs.define(kw_only=True)
class ShardRunners:
    """Collection that builds, configures and polls the runners of shards."""

    _blackboard: Blackboard
    _clock: Clock
    _limits: LimitSettings
    _metrics: DaemonMetrics
    _entries: dict[ShardName, _RunnerEntry] = attrs.field(factory=dict)

    def get_runner(self, name: ShardName) -> ShardRunner | None:
        """Return the runner of a shard, polling the servers of a new one.

        Returns:
            The runner, or none if the shard is not in the configuration.
        """
        entry = self._configured_entry(name)
        if entry is None:
            return None
        entry.last_used_ms = self._clock.now_ms()
        if not entry.runner.scheduler.servers.has_snapshots:
            self._poll_initially(entry)
        return entry.runner

    @property
    def server_statuses(
        self,
    ) -> dict[tuple[str, str], tuple[ServerStatus, ...]]:
        """Statuses of the servers of each active shard, by front and shard."""
        return {
            (name.front, name.shard): entry.runner.scheduler.server_statuses
            for name, entry in self._entries.items()
        }

    def poll_forever(self) -> None:
        """Poll the health endpoints of the servers in use periodically."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            eventlet.spawn_n(self._poll_shards)
            eventlet.sleep(_POLL_INTERVAL_MS / _MS)

    def _poll_initially(self, entry: _RunnerEntry) -> None:
        """Poll the servers of a new runner once, also for concurrent requests."""
        with entry.poll_lock:
            if not entry.runner.scheduler.servers.has_snapshots:
                _poll_servers(entry.runner)

    def _poll_shards(self) -> None:
        self._drop_unused()
        pool = eventlet.GreenPool()
        for name in tuple(self._entries):
            entry = self._configured_entry(name)
            if entry is not None:
                pool.spawn_n(_poll_servers, entry.runner)
        pool.waitall()

    def _drop_unused(self) -> None:
        oldest_ms = self._clock.now_ms() - _MAX_UNUSED_MS
        for name, entry in tuple(self._entries.items()):
            if entry.last_used_ms >= oldest_ms or entry.runner.scheduler.busy:
                continue
            # A new runner would not know which servers refused a request.
            refusing_servers = entry.runner.scheduler.servers.refusing_servers
            if not refusing_servers or self._find_front(name) is None:
                entry.runner.connect({})
                entry.runner.drains.stop()
                self._entries.pop(name)

    def _configured_entry(self, name: ShardName) -> _RunnerEntry | None:
        """Return the runner of a shard, updated to the active configuration."""
        if self._find_front(name) is None:
            return None
        entry = self._entries.get(name)
        if entry is None:
            entry = _RunnerEntry(runner=self._new_runner(name))
            self._entries[name] = entry
        configuration_state = (
            self._blackboard.config_version,
            len(self._blackboard.members),
        )
        if entry.configured_for != configuration_state:
            entry.configured_for = configuration_state
            self._configure(entry.runner, name)
        return entry

    def _find_front(self, name: ShardName) -> Front | None:
        """Return the front of a shard, if the shard is configured."""
        front = self._blackboard.find_front(name.front)
        if front is None or name.shard not in front.shards:
            return None
        return front

    def _configure(self, runner: ShardRunner, name: ShardName) -> None:
        blackboard = self._blackboard
        front = blackboard.document.fronts[name.front]
        servers = front.shards[name.shard].servers
        actions = runner.scheduler.servers.configure(
            home_settings(blackboard.document, front, self._limits.queue),
            [
                server_config(blackboard, server_name, server)
                for server_name, server in servers.items()
            ],
        )
        runner.connect(dict(servers))
        runner.apply_actions(actions)

    def _new_runner(self, name: ShardName) -> ShardRunner:
        return shard_runner(
            self._clock,
            self._blackboard.local.name,
            self._limits.reply_bytes,
            functools.partial(self._metrics.count_failure, name.front),
            state_log(
                daemon=self._blackboard.local.name,
                front=name.front,
                shard=name.shard,
            ),
        )


def _poll_servers(runner: ShardRunner) -> None:
    pool = eventlet.GreenPool()
    for name, client in tuple(runner.clients.items()):
        pool.spawn_n(_poll_server, runner, name, client)
    pool.waitall()


def _poll_server(runner: ShardRunner, name: str, client: BackendClient) -> None:
    """Pass the health report of a server to its scheduler.

    A failed poll is ignored, since requests detect unresponsive servers.
    """
    client.pool.evict_idle()
    report = client.health(_POLL_TIMEOUT_MS).value_or(None)
    if report is not None:
        actions = runner.scheduler.servers.on_report(name, report)
        runner.apply_actions(actions)
        runner.drains.log.record(name, 'health report')
