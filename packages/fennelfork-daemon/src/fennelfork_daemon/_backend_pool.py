"""The connections to one backend server, kept as its ledger decides."""

import contextlib
from typing import Final

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result

from fennelfork import (
    Clock,
    ConnectionLedger,
    ConnectionUse,
    Failure,
    FailureCode,
    not_run,
)
from fennelfork_daemon._address import Address
from fennelfork_daemon._backend_connection import (
    BackendCall,
    BackendConnection,
    BackendResponse,
    backend_connection,
)

_PROBE: Final = '/v1/health'
_PROBE_MS: Final = 50.0


@attrs.define(kw_only=True)
class Trace:
    """Which connection carries a call, for who watches it.

    Attributes:
        connection: its number, zero before there is one.
    """

    connection: int = 0


@attrs.define(kw_only=True)
class BackendPool:
    """Opens, reuses, probes and closes; the ledger says which."""

    _address: Address
    _ledger: ConnectionLedger
    _clock: Clock
    _most_bytes: int
    _open: dict[int, BackendConnection] = attrs.field(factory=dict)

    def carry(
        self,
        call: BackendCall,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        """Make one call on a connection that can be trusted.

        Args:
            call: the call.
            trace: where to note the connection that carries it.
        """
        use = self._use(call)
        if use is None:
            return Bad(not_run(FailureCode.SHED, 'no connection is free'))
        self._close(use.close)
        if use.opened:
            return self._carry_on_new(use.connection, call, trace)
        if self._trusted(use):
            return self._carry_on(use.connection, call, trace)
        self._close((use.connection,))
        self._ledger.done(use.connection, self._clock.now_ms(), usable=False)
        return self.carry(call, trace)

    def silence(self, trace: Trace) -> None:
        """Close a connection that carries nothing, and its peers of age."""
        self._close(self._ledger.silent(trace.connection))

    def retire(self) -> None:
        """Close what idled for long."""
        self._close(self._ledger.retire(self._clock.now_ms()))

    def close(self) -> None:
        """Close all connections; calls under way on them fail."""
        self._close(tuple(self._open))

    def _use(self, call: BackendCall) -> ConnectionUse | None:
        return self._ledger.use(self._clock.now_ms(), fresh=call.fresh)

    def _trusted(self, use: ConnectionUse) -> bool:
        """Tell whether an idle connection still carries bytes."""
        connection = self._open[use.connection]
        if not connection.alive:
            return False
        if not use.probe:
            return True
        probe = BackendCall(path=_PROBE, body=None, timeout_ms=_PROBE_MS)
        answers = is_successful(connection.carry(probe))
        if not answers:
            self._close(self._ledger.silent(use.connection))
        return answers

    def _carry_on_new(
        self,
        number: int,
        call: BackendCall,
        trace: Trace,
    ) -> Result[BackendResponse, Failure]:
        connection = backend_connection(self._address, self._most_bytes)
        self._open[number] = connection
        opened = connection.open(call.timeout_ms)
        if is_successful(opened):
            return self._carry_on(number, call, trace)
        self._give_back(number, usable=False)
        return Bad(opened.failure())

    def _carry_on(
        self,
        number: int,
        call: BackendCall,
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
        if not self._ledger.done(number, now_ms, usable=usable):
            self._close((number,))

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
) -> BackendPool:
    """Build the connections to one server.

    Args:
        address: of the server.
        ledger: decides which connection carries a call.
        clock: of the daemon.
        most_bytes: the largest reply that is read.
    """
    return BackendPool(
        address=address,
        ledger=ledger,
        clock=clock,
        most_bytes=most_bytes,
    )
