"""Connection pool of one backend server."""

import contextlib
from collections.abc import Callable
from typing import Final

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Clock, Failure, FailureCode, not_run
from fennelfork.servers import ConnectionChoice, ConnectionLedger
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend._connection import (
    BackendConnection,
    backend_connection,
)
from fennelfork_daemon.backend._request import (
    AnyRequest,
    BackendResponse,
    ForwardRequest,
    JsonRequest,
)
from fennelfork_daemon.backend._response_memory import ResponseMemory
from fennelfork_daemon.backend._wait_queue import WaitQueue

_PROBE_TIMEOUT_MS: Final = 50.0
_CLOSED: Final = not_run(FailureCode.SHED, 'closed before the request was sent')
# Request that checks whether an idle connection still works.
HEALTH_PROBE: Final = JsonRequest(
    path='/v1/health',
    body=None,
    timeout_ms=_PROBE_TIMEOUT_MS,
)
# Connections are reused for this share of the announced keep-alive time, since
# a later request may arrive while the server closes the connection.
_KEEP_ALIVE_SHARE: Final = 0.8


def _admit_write() -> None:
    """Admit every write."""


@attrs.define(kw_only=True)
class ConnectionTrace:
    """Record of the connection that carries a request.

    Attributes:
        connection: number of the connection, zero before the assignment.
        opening_since_ms: time from which a new connection is being opened.
        may_be_sent: whether bytes of the request may have been written to the
            connection; false while the request waits for a connection.
        refuse_write: function that is called right before the request is
            written and returns a failure if it must not be written; no other
            green thread runs between the call and the write.
    """

    connection: int = 0
    opening_since_ms: float | None = None
    may_be_sent: bool = False
    refuse_write: Callable[[], Failure | None] = _admit_write


@attrs.frozen(kw_only=True)
class FullPoolPolicy:
    """Policy for requests while all connections are in use.

    Attributes:
        code: code of the failure.
        wait_ms: maximum wait for a free connection, in milliseconds.
        treats_reset_as_full: whether the reset of a new connection means that
            the server has reached its connection limit, which other clients
            share.
    """

    code: FailureCode = FailureCode.SHED
    wait_ms: float = 0
    treats_reset_as_full: bool = False


_FAIL_IMMEDIATELY: Final = FullPoolPolicy()
# Time that a server at its connection limit takes to reset a connection that it
# has accepted, in addition to a round trip.
_RESET_MS: Final = 10.0


@attrs.define(kw_only=True)
class BackendPool:
    """Opens, reuses, probes and closes connections as the ledger decides.

    Attributes:
        awaits_reset: whether a request is written to a new connection only
            after the server had time to reset it. A request that is not
            written has certainly not run.
    """

    awaits_reset: bool = False
    _address: Address
    _ledger: ConnectionLedger
    _clock: Clock
    _max_response_bytes: int
    # Shared with other pools, or none for a memory of each connection.
    _memory: ResponseMemory | None = None
    _probe: JsonRequest | None
    _when_full: FullPoolPolicy
    _wait_queue: WaitQueue = attrs.field(factory=WaitQueue)
    _open: dict[int, BackendConnection] = attrs.field(factory=dict)

    def exchange(
        self,
        request: AnyRequest,
        trace: ConnectionTrace,
    ) -> Result[BackendResponse, Failure]:
        """Send a request on a usable connection and read the response.

        Args:
            request: request to send.
            trace: record of the connection that carries the request.
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
        return self.exchange(request, trace)

    def discard_unresponsive(self, trace: ConnectionTrace) -> None:
        """Close an unresponsive connection and all older idle ones."""
        self._close(self._ledger.record_unresponsive(trace.connection))

    def evict_idle(self) -> None:
        """Close connections that have been idle for too long."""
        self._close(self._ledger.evict_idle(self._clock.now_ms()))

    def evict_all(self) -> None:
        """Close idle connections now, and busy ones after their requests."""
        self._close(self._ledger.invalidate_all())

    def close(self) -> None:
        """Close all connections; requests in flight fail."""
        self._close(tuple(self._open))

    def _acquire(self, request: AnyRequest) -> ConnectionChoice | None:
        """Acquire a connection, waiting for a release if all are in use."""
        now_ms = self._clock.now_ms()
        until_ms = now_ms + min(self._when_full.wait_ms, request.timeout_ms)
        choice = self._ledger.use(now_ms, fresh=request.fresh)
        while choice is None and now_ms < until_ms:
            self._wait_queue.wait(until_ms - now_ms)
            now_ms = self._clock.now_ms()
            choice = self._ledger.use(now_ms, fresh=request.fresh)
        return choice

    def _is_usable(self, choice: ConnectionChoice) -> bool:
        """Whether an acquired connection can carry a request."""
        connection = self._open[choice.connection]
        if not connection.is_open or _exceeds_keep_alive(
            connection, choice.idle_ms
        ):
            return False
        if self._probe is None or not choice.probe:
            return True
        is_responsive = is_successful(connection.exchange(self._probe))
        if not is_responsive:
            self._close(self._ledger.record_unresponsive(choice.connection))
        return is_responsive

    def _exchange_on_new(
        self,
        number: int,
        request: AnyRequest,
        trace: ConnectionTrace,
    ) -> Result[BackendResponse, Failure]:
        connection = backend_connection(
            self._address, self._max_response_bytes, self._memory
        )
        self._open[number] = connection
        trace.opening_since_ms = self._clock.now_ms()
        with contextlib.ExitStack() as unopened:
            # Also runs when the green thread of the request is killed.
            unopened.callback(self._release, number, usable=False)
            opened = _open_connection(
                connection,
                _connect_timeout_ms(request),
                self._clock if self.awaits_reset else None,
            )
            if is_successful(opened):
                unopened.pop_all()
        response = opened.bind(
            lambda _: self._exchange_on(number, request, trace)
        )
        return response.lash(self._handle_refused_connection)

    def _handle_refused_connection(
        self,
        failure: Failure,
    ) -> Result[BackendResponse, Failure]:
        """Map a reset new connection to the failure code of the policy."""
        if failure.code is not FailureCode.SHED:
            return Bad(failure)
        if not self._when_full.treats_reset_as_full:
            return Bad(attrs.evolve(failure, code=FailureCode.UNREACHABLE))
        self._ledger.record_refused_connection(self._clock.now_ms())
        return Bad(attrs.evolve(failure, code=self._when_full.code))

    def _exchange_on(
        self,
        number: int,
        request: AnyRequest,
        trace: ConnectionTrace,
    ) -> Result[BackendResponse, Failure]:
        trace.connection = number
        with contextlib.ExitStack() as unusable:
            # Also runs when the green thread of the request is killed.
            unusable.callback(self._release, number, usable=False)
            refusal = trace.refuse_write()
            if refusal is None:
                trace.may_be_sent = True
                response = self._open[number].exchange(request)
            else:
                response = Bad(refusal)
            if refusal is not None or is_successful(response):
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
    max_response_bytes: int,
    probe: JsonRequest | None = HEALTH_PROBE,
    when_full: FullPoolPolicy = _FAIL_IMMEDIATELY,
) -> BackendPool:
    """Build the connection pool of one server.

    Args:
        address: address of the server.
        ledger: bookkeeping that chooses the connection of a request.
        clock: clock of the daemon.
        max_response_bytes: size limit of a response body, in bytes.
        probe: request that checks a long idle connection before its reuse, or
            none for reuse without a check.
        when_full: policy while all connections are in use.
    """
    return BackendPool(
        address=address,
        ledger=ledger,
        clock=clock,
        max_response_bytes=max_response_bytes,
        probe=probe,
        when_full=when_full,
    )


def _open_connection(
    connection: BackendConnection, timeout_ms: float, clock: Clock | None
) -> Result[None, Failure]:
    """Open a connection, and fail if the server closes it at once.

    Args:
        connection: connection to open.
        timeout_ms: timeout of the connection.
        clock: measures the round trip after which a reset has arrived; without
            it, only a reset counts that has arrived already.
    """
    began_ms = 0 if clock is None else clock.now_ms()
    opened = connection.open(timeout_ms)
    if clock is None or not is_successful(opened):
        return opened.bind(lambda _: _check_open(connection))
    round_trip_ms = clock.now_ms() - began_ms
    if connection.closes_within(round_trip_ms + _RESET_MS):
        return Bad(_CLOSED)
    return opened


def _check_open(connection: BackendConnection) -> Result[None, Failure]:
    """Fail if the server closed or reset a new connection without a request.

    A server at its connection limit closes new connections. The request has
    not run; after its bytes are written, a reset no longer proves that.
    """
    if connection.is_open:
        return Success(None)
    return Bad(_CLOSED)


def _connect_timeout_ms(request: AnyRequest) -> float:
    if isinstance(request, ForwardRequest):
        return min(request.connect_ms, request.timeout_ms)
    return request.timeout_ms


def _exceeds_keep_alive(connection: BackendConnection, idle_ms: float) -> bool:
    if connection.keep_alive_ms is None:
        return False
    return idle_ms > _KEEP_ALIVE_SHARE * connection.keep_alive_ms
