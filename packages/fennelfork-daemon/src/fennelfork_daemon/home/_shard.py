"""Carries out what the scheduler of one shard decides."""

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
from fennelfork_daemon.backend._client import BackendClient, Sending
from fennelfork_daemon.backend._pool import Trace, backend_pool
from fennelfork_daemon.home._orders import Errand, Outcome

_MS: Final = 1000
_CANCEL_MS: Final = 1000.0
# How long a server that confirmed a cancel may take to say so to the copy.
_GRACE_STEPS: Final = 10
_GRACE_STEP_MS: Final = 10.0
# A copy is ended by its cancel; this only bounds the wait on its socket.
_BEYOND_DEADLINE_MS: Final = 3000.0
_GONE: Final = not_run(FailureCode.NO_SERVER, 'the server was removed')


@attrs.define(kw_only=True)
class _Copy:
    """One attempt under way."""

    name: str
    trace: Trace
    started_ms: float
    thread: GreenThread | None = None
    result: Result[Reply, Failure] | None = None


@attrs.define(kw_only=True)
class ShardRunner:
    """Drives the scheduler of one shard and talks to its servers.

    Attributes:
        scheduler: decides; nothing is decided here.
    """

    scheduler: HomeScheduler
    _clock: Clock
    _label: str
    _most_bytes: int
    _notice: Callable[[Failure], None]
    _clients: dict[str, BackendClient] = attrs.field(factory=dict)
    _addresses: dict[str, str] = attrs.field(factory=dict)
    _errands: dict[str, Errand] = attrs.field(factory=dict)
    _copies: dict[int, _Copy] = attrs.field(factory=dict)
    _settled: dict[int, _Copy] = attrs.field(factory=dict)
    _alarm: GreenThread | None = None
    _alarm_ms: float = 0

    @property
    def clients(self) -> dict[str, BackendClient]:
        """The servers that can be called, by name."""
        return self._clients

    def run(self, errand: Errand) -> None:
        """Have one errand carried out; its `done` is called once."""
        self._errands[errand.task.job] = errand
        self.carry_out(self.scheduler.submit(errand.task))

    def connect(self, servers: dict[str, Server]) -> None:
        """Build clients for the servers of the configuration in force."""
        for name in self._clients.keys() - servers.keys():
            self._clients.pop(name).pool.close()
        for name, server in servers.items():
            if self._addresses.get(name) != server.address:
                self._connect(name, server)

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Do what the scheduler decided."""
        for action in actions:
            match action:
                case Send():
                    self._start(action)
                case Cancel():
                    eventlet.spawn_n(self._cancel, action)
                case TaskAnswered():
                    self._answer(action)
                case TaskRefused():
                    self._refuse(action)
        self._set_alarm()

    def _connect(self, name: str, server: Server) -> None:
        ledger = self.scheduler.servers.connections(name)
        if ledger is None:
            return
        pool = backend_pool(
            address(server.address),
            ledger,
            self._clock,
            self._most_bytes,
        )
        self._addresses[name] = server.address
        self._clients[name] = BackendClient(pool=pool)

    def _start(self, send: Send) -> None:
        errand = self._errands[send.task.job]
        copy = _Copy(
            name=f'{errand.name}#{self._label}.{send.attempt}',
            trace=Trace(),
            started_ms=self._clock.now_ms(),
        )
        self._copies[send.attempt] = copy
        copy.thread = eventlet.spawn(self._attempt, send, copy, errand)

    def _attempt(self, send: Send, copy: _Copy, errand: Errand) -> None:
        """Send one copy and report how it ended."""
        left_ms = send.task.deadline_ms - self._clock.now_ms()
        sending = Sending(
            left_ms=left_ms,
            timeout_ms=left_ms + _BEYOND_DEADLINE_MS,
            fresh=send.fresh_connection,
            trace=copy.trace,
        )
        client = self._clients.get(send.server)
        result: Result[Reply, Failure] = (
            errand.order.send(client, copy.name, sending)
            if client
            else Bad(_GONE)
        )
        self._copies.pop(send.attempt, None)
        if is_successful(result):
            copy.result = result
            self._settled[send.attempt] = copy
            self.carry_out(self.scheduler.on_reply(send.attempt))
            self._settled.pop(send.attempt, None)
            return
        self._notice(result.failure())
        failed = self.scheduler.on_failure(send.attempt, result.failure())
        self.carry_out(failed)

    def _answer(self, answered: TaskAnswered) -> None:
        copy = self._settled[answered.attempt]
        outcome = Outcome(
            result=copy.result,
            stats=answered.stats,
            server=answered.server,
            server_ms=self._clock.now_ms() - copy.started_ms,
        )
        self._errands.pop(answered.task.job).done(outcome)

    def _refuse(self, refused: TaskRefused) -> None:
        outcome = Outcome(result=Bad(refused.failure), stats=refused.stats)
        self._errands.pop(refused.task.job).done(outcome)

    def _cancel(self, cancel: Cancel) -> None:
        """Have a server end a copy; find out whether its connection works."""
        copy = self._copies.get(cancel.attempt)
        client = self._clients.get(cancel.server)
        if copy is None or client is None:
            return
        sending = Sending(
            left_ms=_CANCEL_MS,
            timeout_ms=_CANCEL_MS,
            fresh=cancel.suspect,
            trace=Trace(),
        )
        request_id = cancel.task.request_id
        answered = client.cancel(request_id, copy.name, sending)
        if _ends_soon(self._copies, cancel.attempt):
            return
        if is_successful(answered):
            # The server spoke on a new connection, the old one is silent.
            client.pool.silence(copy.trace)
            self.carry_out(self.scheduler.on_cancelled(cancel.attempt))
        self._copies.pop(cancel.attempt, None)
        if copy.thread is not None:
            copy.thread.kill()

    def _set_alarm(self) -> None:
        """Wake up when the scheduler next has something to do."""
        next_ms = self.scheduler.next_tick_ms
        if next_ms is None:
            return
        if self._alarm is not None:
            if self._alarm_ms <= next_ms:
                return
            self._alarm.cancel()
        delay_ms = max(0, next_ms - self._clock.now_ms())
        self._alarm_ms = next_ms
        self._alarm = eventlet.spawn_after(delay_ms / _MS, self._wake)

    def _wake(self) -> None:
        self._alarm = None
        self.carry_out(self.scheduler.tick())


def shard_runner(
    clock: Clock,
    label: str,
    most_bytes: int,
    notice: Callable[[Failure], None],
) -> ShardRunner:
    """Build the runner of a shard without servers.

    Args:
        clock: of the daemon.
        label: tells the copies of this daemon from those of another home.
        most_bytes: the largest reply that is read from a server.
        notice: told of each copy that failed, for counting.
    """
    return ShardRunner(
        scheduler=home_scheduler(clock, random.Random()),
        clock=clock,
        label=label,
        most_bytes=most_bytes,
        notice=notice,
    )


def _ends_soon(copies: dict[int, _Copy], attempt: int) -> bool:
    """Wait a little for a copy itself to hear of its end."""
    for _ in range(_GRACE_STEPS):
        if attempt not in copies:
            return True
        eventlet.sleep(_GRACE_STEP_MS / _MS)
    return attempt not in copies
