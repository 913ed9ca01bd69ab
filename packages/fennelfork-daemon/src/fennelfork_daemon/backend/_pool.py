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
    BackendCall,
    BackendResponse,
    Call,
    ForwardCall,
)
from fennelfork_daemon.backend._connection import (
    BackendConnection,
    backend_connection,
)
from fennelfork_daemon.backend._turns import Turns

_PROBE_MS: Final = 50.0
# Asks a backend server for a sign of life on an idle connection.
HEALTH_PROBE: Final = BackendCall(
    path='/v1/health',
    body=None,
    timeout_ms=_PROBE_MS,
)
# The other end closes an idle connection about when it said; a request sent
# within the last fifth of that time may cross the close.
_KEPT_SHARE: Final = 0.8


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


_FAIL_AT_ONCE: Final = WhenFull()


@attrs.define(kw_only=True)
class BackendPool:
    """Opens, reuses, probes and closes; the ledger says which."""

    _address: Address
    _ledger: ConnectionLedger
    _clock: Clock
    _most_bytes: int
    _probe: BackendCall | None
    _when_full: WhenFull
    _turns: Turns = attrs.field(factory=Turns)
    _open: dict[int, BackendConnection] = attrs.field(factory=dict)

    def carry(
        self,
        call: Call,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        """Make one call on a connection that can be trusted.

        Args:
            call: the call.
            trace: where to note the connection that carries it.
        """
        use = self._use(call)
        if use is None:
            return Bad(not_run(self._when_full.code, 'no connection is free'))
        self._close(use.close)
        if use.opened:
            return self._carry_on_new(use.connection, call, trace)
        if self._trusted(use):
            return self._carry_on(use.connection, call, trace)
        self._close((use.connection,))
        self._ledger.release(use.connection, self._clock.now_ms(), usable=False)
        return self.carry(call, trace)

    def silence(self, trace: Trace) -> None:
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

    def _use(self, call: Call) -> ConnectionChoice | None:
        """Take a connection, or wait for one that another call gives back."""
        now_ms = self._clock.now_ms()
        until_ms = now_ms + min(self._when_full.wait_ms, call.timeout_ms)
        use = self._ledger.use(now_ms, fresh=call.fresh)
        while use is None and now_ms < until_ms:
            self._turns.wait(until_ms - now_ms)
            now_ms = self._clock.now_ms()
            use = self._ledger.use(now_ms, fresh=call.fresh)
        return use

    def _trusted(self, use: ConnectionChoice) -> bool:
        """Tell whether an idle connection still carries bytes."""
        connection = self._open[use.connection]
        if not connection.alive or _outlived(connection, use.idle_ms):
            return False
        if self._probe is None or not use.probe:
            return True
        answers = is_successful(connection.carry(self._probe))
        if not answers:
            self._close(self._ledger.record_unresponsive(use.connection))
        return answers

    def _carry_on_new(
        self,
        number: int,
        call: Call,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        connection = backend_connection(self._address, self._most_bytes)
        self._open[number] = connection
        opened = connection.open(_connect_ms(call))
        if is_successful(opened):
            carried = self._carry_on(number, call, trace)
        else:
            self._give_back(number, usable=False)
            carried = Bad(opened.failure())
        return carried.lash(self._note_turned_away)

    def _note_turned_away(
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

    def _carry_on(
        self,
        number: int,
        call: Call,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        trace.connection = number
        with contextlib.ExitStack() as unusable:
            # Also when the green thread of the call is ended from outside.
            unusable.callback(self._give_back, number, usable=False)
            carried = self._open[number].carry(call)
            if is_successful(carried):
                unusable.pop_all()
                self._give_back(number, usable=True)
        return carried

    def _give_back(self, number: int, *, usable: bool) -> None:
        now_ms = self._clock.now_ms()
        if not self._ledger.release(number, now_ms, usable=usable):
            self._close((number,))
        self._turns.wake()

    def _close(self, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            connection = self._open.pop(number, None)
            if connection is not None:
                connection.close()


def backend_pool(
    address: Address,
    ledger: ConnectionLedger,
    clock: Clock,
    most_bytes: int,
    probe: BackendCall | None = HEALTH_PROBE,
    when_full: WhenFull = _FAIL_AT_ONCE,
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
        most_bytes=most_bytes,
        probe=probe,
        when_full=when_full,
    )


def _connect_ms(call: Call) -> float:
    if isinstance(call, ForwardCall):
        return min(call.connect_ms, call.timeout_ms)
    return call.timeout_ms


def _outlived(connection: BackendConnection, idle_ms: float) -> bool:
    if connection.keep_ms is None:
        return False
    return idle_ms > _KEPT_SHARE * connection.keep_ms
