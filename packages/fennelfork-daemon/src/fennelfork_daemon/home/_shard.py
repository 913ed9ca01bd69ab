"""Runner that executes the decisions of the scheduler of one shard."""

import random
from collections.abc import Callable, Iterable
from typing import Final

import attrs
import eventlet
from eventlet.greenthread import GreenThread
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result

from fennelfork import Clock, Failure, FailureCode, not_run
from fennelfork.config import Server
from fennelfork.gather import Reply
from fennelfork.home import (
    Action,
    Cancel,
    HomeScheduler,
    Send,
    TaskAnswered,
    TaskRefused,
    home_scheduler,
)
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._client import BackendClient, SendOptions
from fennelfork_daemon.backend._pool import ConnectionTrace, backend_pool
from fennelfork_daemon.home._drain_follower import DrainFollower
from fennelfork_daemon.home._drain_log import DrainLog
from fennelfork_daemon.home._tasks import RunnableTask, TaskOutcome
from fennelfork_daemon.logs._logs import StateLog

_MS: Final = 1000
_CANCEL_TIMEOUT_MS: Final = 1000.0
# Grace period in which a cancelled attempt receives its own response.
_GRACE_STEPS: Final = 10
_GRACE_STEP_MS: Final = 10.0
# The scheduler cancels late attempts; this margin only bounds the socket wait.
_SOCKET_MARGIN_MS: Final = 3000.0
_SERVER_REMOVED: Final = not_run(
    FailureCode.NO_SERVER, 'the server was removed'
)


@attrs.define(kw_only=True)
class _Attempt:
    """Attempt that is in flight."""

    name: str
    trace: ConnectionTrace
    started_ms: float
    thread: GreenThread | None = None
    result: Result[Reply, Failure] | None = None


@attrs.define(kw_only=True)
class ShardRunner:
    """Executes the actions of a shard scheduler on the backend servers.

    Attributes:
        scheduler: scheduler that makes all decisions.
        drains: monitors and log of draining servers.
    """

    scheduler: HomeScheduler
    drains: DrainFollower
    _clock: Clock
    _label: str
    _max_response_bytes: int
    _failure_callback: Callable[[Failure], None]
    _clients: dict[str, BackendClient] = attrs.field(factory=dict)
    _addresses: dict[str, str] = attrs.field(factory=dict)
    _runnables: dict[str, RunnableTask] = attrs.field(factory=dict)
    _attempts: dict[int, _Attempt] = attrs.field(factory=dict)
    _answered_attempts: dict[int, _Attempt] = attrs.field(factory=dict)
    _timer: GreenThread | None = None
    _timer_at_ms: float = 0

    @property
    def clients(self) -> dict[str, BackendClient]:
        """Clients of the backend servers, by server name."""
        return self._clients

    def run(self, runnable: RunnableTask) -> None:
        """Submit a task, whose `on_done` function is called exactly once."""
        self._runnables[runnable.task.job] = runnable
        self.apply_actions(self.scheduler.submit(runnable.task))

    def connect(self, servers: dict[str, Server]) -> None:
        """Build clients for the servers of the active configuration."""
        for name in self._clients.keys() - servers.keys():
            self._clients.pop(name).pool.close()
            self._addresses.pop(name)
        for name, server in servers.items():
            if self._addresses.get(name) != server.address:
                self._connect(name, server)

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Apply the actions of the scheduler."""
        for action in actions:
            match action:
                case Send():
                    self._start_attempt(action)
                case Cancel():
                    eventlet.spawn_n(self._cancel_attempt, action)
                case TaskAnswered():
                    self._complete_task(action)
                case TaskRefused():
                    self._fail_task(action)
        self._set_timer()

    def _connect(self, name: str, server: Server) -> None:
        ledger = self.scheduler.servers.connections(name)
        if ledger is None:
            return
        pool = backend_pool(
            address(server.address),
            ledger,
            self._clock,
            self._max_response_bytes,
        )
        self._addresses[name] = server.address
        self._clients[name] = BackendClient(pool=pool)

    def _start_attempt(self, send: Send) -> None:
        runnable = self._runnables[send.task.job]
        attempt = _Attempt(
            name=f'{runnable.name}#{self._label}.{send.attempt}',
            trace=ConnectionTrace(),
            started_ms=self._clock.now_ms(),
        )
        self._attempts[send.attempt] = attempt
        attempt.thread = eventlet.spawn(
            self._run_attempt, send, attempt, runnable
        )

    def _run_attempt(
        self, send: Send, attempt: _Attempt, runnable: RunnableTask
    ) -> None:
        """Send one attempt and report its result to the scheduler."""
        remaining_ms = send.task.deadline_ms - self._clock.now_ms()
        options = SendOptions(
            remaining_ms=remaining_ms,
            timeout_ms=remaining_ms + _SOCKET_MARGIN_MS,
            fresh=send.fresh_connection,
            trace=attempt.trace,
        )
        client = self._clients.get(send.server)
        result: Result[Reply, Failure] = (
            runnable.search.send(client, attempt.name, options)
            if client
            else Bad(_SERVER_REMOVED)
        )
        self._attempts.pop(send.attempt, None)
        if is_successful(result):
            attempt.result = result
            self._answered_attempts[send.attempt] = attempt
            self.apply_actions(self.scheduler.on_reply(send.attempt))
            self._answered_attempts.pop(send.attempt, None)
            return
        self._failure_callback(result.failure())
        failed = self.scheduler.on_failure(send.attempt, result.failure())
        self.apply_actions(failed)
        server_address = self._addresses.get(send.server)
        if server_address and result.failure().code is FailureCode.DRAINING:
            self.drains.record_refusal(
                send.server, server_address, attempt.name
            )

    def _complete_task(self, answered: TaskAnswered) -> None:
        attempt = self._answered_attempts[answered.attempt]
        outcome = TaskOutcome(
            result=attempt.result,
            stats=answered.stats,
            server=answered.server,
            server_ms=self._clock.now_ms() - attempt.started_ms,
        )
        self._runnables.pop(answered.task.job).on_done(outcome)

    def _fail_task(self, refused: TaskRefused) -> None:
        outcome = TaskOutcome(result=Bad(refused.failure), stats=refused.stats)
        self._runnables.pop(refused.task.job).on_done(outcome)

    def _cancel_attempt(self, cancel: Cancel) -> None:
        """Cancel an attempt on its server and check its connection."""
        attempt = self._attempts.get(cancel.attempt)
        client = self._clients.get(cancel.server)
        if attempt is None or client is None:
            return
        options = SendOptions(
            remaining_ms=_CANCEL_TIMEOUT_MS,
            timeout_ms=_CANCEL_TIMEOUT_MS,
            fresh=cancel.suspect,
            trace=ConnectionTrace(),
        )
        request_id = cancel.task.request_id
        answered = client.cancel(request_id, attempt.name, options)
        if _ends_in_grace_period(self._attempts, cancel.attempt):
            return
        if is_successful(answered):
            # The server responds on a new connection, so the old one is broken.
            client.pool.discard_unresponsive(attempt.trace)
            self.apply_actions(self.scheduler.on_cancelled(cancel.attempt))
        self._attempts.pop(cancel.attempt, None)
        if attempt.thread is not None:
            attempt.thread.kill()

    def _set_timer(self) -> None:
        """Set the timer to the next deadline of the scheduler."""
        next_ms = self.scheduler.next_tick_ms
        if next_ms is None:
            return
        if self._timer is not None:
            if self._timer_at_ms <= next_ms:
                return
            self._timer.cancel()
        delay_ms = max(0, next_ms - self._clock.now_ms())
        self._timer_at_ms = next_ms
        self._timer = eventlet.spawn_after(delay_ms / _MS, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self.apply_actions(self.scheduler.tick())


def shard_runner(
    clock: Clock,
    label: str,
    max_response_bytes: int,
    failure_callback: Callable[[Failure], None],
    log: StateLog,
) -> ShardRunner:
    """Build the runner of a shard that has no backend servers yet.

    Args:
        clock: clock of the daemon.
        label: part of attempt names that is unique to this daemon.
        max_response_bytes: size limit of a response body, in bytes.
        failure_callback: function that is called with each failed attempt.
        log: log of servers that start or stop draining.
    """
    scheduler = home_scheduler(clock, random.Random())
    return ShardRunner(
        scheduler=scheduler,
        drains=DrainFollower(
            servers=scheduler.servers,
            log=DrainLog(servers=scheduler.servers, log=log),
        ),
        clock=clock,
        label=label,
        max_response_bytes=max_response_bytes,
        failure_callback=failure_callback,
    )


def _ends_in_grace_period(attempts: dict[int, _Attempt], attempt: int) -> bool:
    """Whether a cancelled attempt ends by itself in the grace period."""
    for _ in range(_GRACE_STEPS):
        if attempt not in attempts:
            return True
        eventlet.sleep(_GRACE_STEP_MS / _MS)
    return attempt not in attempts
