"""The connections to one backend server, kept as its ledger decides."""

import contextlib
from typing import Final

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result

from fennelfork import Clock, Failure, FailureCode, not_run
from fennelfork.servers import ConnectionChoice, ConnectionLedger
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend._call import (
    AnyRequest,
    BackendResponse,
    ForwardCall,
    JsonRequest,
)
from fennelfork_daemon.backend._connection import (
    BackendConnection,
    backend_connection,
)
from fennelfork_daemon.backend._wait_queue import WaitQueue

_PROBE_TIMEOUT_MS: Final = 50.0
# Asks a backend server for a sign of life on an idle connection.
HEALTH_PROBE: Final = JsonRequest(
    path='/v1/health',
    body=None,
    timeout_ms=_PROBE_TIMEOUT_MS,
)
# The other end closes an idle connection about when it said; a request sent
# within the last fifth of that time may cross the close.
_KEEP_ALIVE_SHARE: Final = 0.8


@attrs.define(kw_only=True)
class Trace:
    """Which connection carries a call, for who watches it.

    Attributes:
        connection: its number, zero before there is one.
    """

    connection: int = 0


@attrs.frozen(kw_only=True)
class WhenFull:
    """What follows if all connections are in use.

    Attributes:
        code: of the failure.
        wait_ms: how long to wait for one of them before.
        reset_is_full: whether a server that resets a new connection is taken
            to hold as many as it may, as others connect to it as well.
    """

    code: FailureCode = FailureCode.SHED
    wait_ms: float = 0
    reset_is_full: bool = False


_FAIL_IMMEDIATELY: Final = WhenFull()


@attrs.define(kw_only=True)
class BackendPool:
    """Opens, reuses, probes and closes; the ledger says which."""

    _address: Address
    _ledger: ConnectionLedger
    _clock: Clock
    _max_reply_bytes: int
    _probe: JsonRequest | None
    _when_full: WhenFull
    _wait_queue: WaitQueue = attrs.field(factory=WaitQueue)
    _open: dict[int, BackendConnection] = attrs.field(factory=dict)

    def carry(
        self,
        request: AnyRequest,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        """Make one call on a connection that can be trusted.

        Args:
            call: the call.
            trace: where to note the connection that carries it.
        """
        choice = self._acquire(request)
        if choice is None:
            return Bad(not_run(self._when_full.code, 'no connection is free'))
        self._close(choice.close)
        if choice.opened:
            return self._exchange_on_new(choice.connection, request, trace)
        if self._is_usable(choice):
            return self._exchange_on(choice.connection, request, trace)
        self._close((choice.connection,))
        self._ledger.release(
            choice.connection, self._clock.now_ms(), usable=False
        )
        return self.carry(request, trace)

    def discard_unresponsive(self, trace: Trace) -> None:
        """Close a connection that carries nothing, and its peers of age."""
        self._close(self._ledger.record_unresponsive(trace.connection))

    def retire(self) -> None:
        """Close what idled for long."""
        self._close(self._ledger.evict_idle(self._clock.now_ms()))

    def retire_all(self) -> None:
        """Close what idles now; calls under way end first."""
        self._close(self._ledger.invalidate_all())

    def close(self) -> None:
        """Close all connections; calls under way on them fail."""
        self._close(tuple(self._open))

    def _acquire(self, request: AnyRequest) -> ConnectionChoice | None:
        """Take a connection, or wait for one that another call gives back."""
        now_ms = self._clock.now_ms()
        until_ms = now_ms + min(self._when_full.wait_ms, request.timeout_ms)
        choice = self._ledger.use(now_ms, fresh=request.fresh)
        while choice is None and now_ms < until_ms:
            self._wait_queue.wait(until_ms - now_ms)
            now_ms = self._clock.now_ms()
            choice = self._ledger.use(now_ms, fresh=request.fresh)
        return choice

    def _is_usable(self, choice: ConnectionChoice) -> bool:
        """Tell whether an idle connection still carries bytes."""
        connection = self._open[choice.connection]
        if not connection.is_open or _exceeds_keep_alive(
            connection, choice.idle_ms
        ):
            return False
        if self._probe is None or not choice.probe:
            return True
        is_responsive = is_successful(connection.carry(self._probe))
        if not is_responsive:
            self._close(self._ledger.record_unresponsive(choice.connection))
        return is_responsive

    def _exchange_on_new(
        self,
        number: int,
        request: AnyRequest,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        connection = backend_connection(self._address, self._max_reply_bytes)
        self._open[number] = connection
        opened = connection.open(_connect_ms(request))
        if is_successful(opened):
            response = self._exchange_on(number, request, trace)
        else:
            self._release(number, usable=False)
            response = Bad(opened.failure())
        return response.lash(self._handle_refused_connection)

    def _handle_refused_connection(
        self,
        failure: Failure,
    ) -> Result[BackendResponse, Failure]:
        """Open no further connection for a moment, if that was the cause."""
        if failure.code is not FailureCode.SHED:
            return Bad(failure)
        if not self._when_full.reset_is_full:
            return Bad(attrs.evolve(failure, code=FailureCode.UNREACHABLE))
        self._ledger.record_refused_connection(self._clock.now_ms())
        return Bad(attrs.evolve(failure, code=self._when_full.code))

    def _exchange_on(
        self,
        number: int,
        request: AnyRequest,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        trace.connection = number
        with contextlib.ExitStack() as unusable:
            # Also when the green thread of the call is ended from outside.
            unusable.callback(self._release, number, usable=False)
            response = self._open[number].carry(request)
            if is_successful(response):
                unusable.pop_all()
                self._release(number, usable=True)
        return response

    def _release(self, number: int, *, usable: bool) -> None:
        now_ms = self._clock.now_ms()
        if not self._ledger.release(number, now_ms, usable=usable):
            self._close((number,))
        self._wait_queue.wake_first()

    def _close(self, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            connection = self._open.pop(number, None)
            if connection is not None:
                connection.close()


def backend_pool(
    address: Address,
    ledger: ConnectionLedger,
    clock: Clock,
    max_reply_bytes: int,
    probe: JsonRequest | None = HEALTH_PROBE,
    when_full: WhenFull = _FAIL_IMMEDIATELY,
) -> BackendPool:
    """Build the connections to one server.

    Args:
        address: of the server.
        ledger: decides which connection carries a call.
        clock: of the daemon.
        most_bytes: the largest reply that is read.
        probe: made on a connection that idled for long before it is used; if
            none, such a connection is used as it is.
        when_full: what follows if all connections are in use.
    """
    return BackendPool(
        address=address,
        ledger=ledger,
        clock=clock,
        max_reply_bytes=max_reply_bytes,
        probe=probe,
        when_full=when_full,
    )


def _connect_ms(request: AnyRequest) -> float:
    if isinstance(request, ForwardCall):
        return min(request.connect_ms, request.timeout_ms)
    return request.timeout_ms


def _exceeds_keep_alive(connection: BackendConnection, idle_ms: float) -> bool:
    if connection.keep_alive_ms is None:
        return False
    return idle_ms > _KEEP_ALIVE_SHARE * connection.keep_alive_ms
