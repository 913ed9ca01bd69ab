"""Execution of the attempts of one request."""

import functools
from collections.abc import Callable
from typing import Final

import attrs
import eventlet
from eventlet.greenthread import GreenThread
from greenlet import GreenletExit
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Clock, Failure
from fennelfork.routes import (
    AttemptOutcome,
    Inconclusive,
    Selector,
    Send,
    Succeeded,
    Unresponsive,
    WriteGate,
    classify_failure,
    classify_reset,
)
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._liveness import has_server_crashed
from fennelfork_daemon.backend._pool import ConnectionTrace
from fennelfork_daemon.routes._caller_request import (
    CallerRequest,
    SignedResponse,
)
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._outcome_recorder import OutcomeRecorder
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._ports import BackendCodec
from fennelfork_daemon.routes._request_reporter import RequestReporter

_MS_PER_SECOND: Final = 1000
_MIN_TIMEOUT_MS: Final = 1.0
# An attempt that is no longer needed may complete within this time, so that the
# connection can be reused and the latency of the server is known. Longer than a
# usual pause of a server.
_LINGER_MS: Final = 400.0


@attrs.frozen(kw_only=True)
class AttemptParts:
    """Objects that the attempts of all requests share."""

    clock: Clock
    pools: ServerPools
    selector: Selector
    codec: BackendCodec
    reporter: RequestReporter
    guard: RequestGuard


AttemptResult = Result[SignedResponse, Failure]


@attrs.frozen(kw_only=True)
class _RunningAttempt:
    """Attempt in flight, with its green thread and its connection."""

    send: Send
    thread: GreenThread
    trace: ConnectionTrace


@attrs.define(kw_only=True)
class AttemptRunner:
    """Runner of the attempts of one request, each in its own green thread."""

    _parts: AttemptParts
    _caller_request: CallerRequest
    _recorder: OutcomeRecorder
    _deadline_ms: float
    _requires_new_connection: bool
    _write_gate: WriteGate
    _on_result: Callable[[int, AttemptResult], None]
    _running: dict[int, _RunningAttempt] = attrs.field(factory=dict)
    _cancelled_outcome: AttemptOutcome = Inconclusive()

    def start_attempts(self, sends: list[Send]) -> None:
        """Start one green thread for each attempt."""
        for send in sends:
            self._recorder.record_start(send)
            trace = ConnectionTrace(
                refuse_write=functools.partial(self._refuse_write, send.attempt)
            )
            self._running[send.attempt] = _RunningAttempt(
                send=send,
                thread=eventlet.spawn(self._run_attempt, send, trace),
                trace=trace,
            )

    def schedule_cancel(self) -> None:
        """Cancel the attempts that are still in flight after a delay."""
        if self._running:
            self._cancelled_outcome = Unresponsive()
            eventlet.spawn_after(
                _LINGER_MS / _MS_PER_SECOND,
                self.cancel,
            )

    def cancel_unsent(self) -> list[int]:
        """Cancel the attempts that still wait for a connection.

        Returns:
            The numbers of these attempts. They send nothing from now on.
        """
        cancelled = []
        for attempt, running in tuple(self._running.items()):
            # An earlier pass of this loop lets other green threads run.
            is_unsent = not running.trace.may_be_sent
            if is_unsent and attempt in self._running:
                outcome = self._recorder.classify_unsent(running.trace)
                self._kill(running, outcome)
                cancelled.append(attempt)
        return cancelled

    def cancel(self) -> None:
        """Cancel all attempts in flight and close their connections."""
        for running in tuple(self._running.values()):
            self._kill(running, self._cancelled_outcome)

    def _kill(self, running: _RunningAttempt, outcome: AttemptOutcome) -> None:
        if self._running.pop(running.send.attempt, None) is not None:
            running.thread.kill()
            self._recorder.record(running.send, outcome)
            self._recorder.record_end(running.send, running.trace)

    def _refuse_write(self, attempt: int) -> Failure | None:
        """Return why the request of an attempt must not be written now."""
        now_ms = self._parts.clock.now_ms()
        admitted = self._write_gate.admit(attempt, now_ms)
        if not is_successful(admitted):
            return admitted.failure()
        send = admitted.unwrap()
        self._running[attempt] = attrs.evolve(self._running[attempt], send=send)
        self._recorder.state_of(send).record_write(attempt, now_ms)
        return None

    def _run_attempt(self, send: Send, trace: ConnectionTrace) -> None:
        try:
            attempt_result = self._send_request(send, trace)
        except GreenletExit:
            return
        running = self._running.pop(send.attempt, None)
        if running is None:
            return
        outcome = self._classify_result(send, attempt_result)
        self._recorder.record(running.send, outcome)
        self._recorder.record_end(send, trace)
        self._on_result(send.attempt, attempt_result)
        if is_successful(attempt_result):
            self._parts.guard.record_response(send, self._caller_request)
        elif attempt_result.failure().connection_lost:
            self._check_for_crash(send)

    def _check_for_crash(self, send: Send) -> None:
        """Record a crash if the server no longer accepts connections.

        A draining server is ignored, because it stops without a crash.
        """
        is_draining = self._parts.selector.directory.is_draining(send.server)
        if not is_draining and has_server_crashed(address(send.server.address)):
            self._parts.guard.record_crash(send, self._caller_request)

    def _send_request(
        self, send: Send, trace: ConnectionTrace
    ) -> AttemptResult:
        call = self._parts.codec.write_request(
            self._caller_request, send.server, self._remaining_ms
        )
        if self._requires_new_connection:
            call = attrs.evolve(call, fresh=True)
        pool = self._parts.pools.for_server(send.server)
        response = pool.exchange(call, trace)
        return response.bind(self._parts.codec.read_response).alt(
            self._classify_reset
        )

    def _remaining_ms(self) -> float:
        left_ms = self._deadline_ms - self._parts.clock.now_ms()
        return max(_MIN_TIMEOUT_MS, left_ms)

    def _classify_reset(self, failure: Failure) -> Failure:
        is_warmed_up = self._parts.selector.shares.is_settled
        return classify_reset(failure, is_warmed_up=is_warmed_up)

    def _classify_result(
        self, send: Send, attempt_result: AttemptResult
    ) -> AttemptOutcome:
        if is_successful(attempt_result):
            return Succeeded()
        left_ms = self._deadline_ms - send.sent_ms
        return classify_failure(attempt_result.failure(), left_ms)
