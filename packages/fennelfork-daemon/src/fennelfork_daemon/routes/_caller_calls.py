"""The calls of backend servers that one request makes."""

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
    AttemptRecord,
    Inconclusive,
    LatencyBaseline,
    Selector,
    Send,
    Succeeded,
    Unresponsive,
    classify_failure,
    classify_reset,
    record_outcome,
)
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._liveness import has_ended
from fennelfork_daemon.backend._pool import Trace
from fennelfork_daemon.routes._ask import Ask, BackendAnswer
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._ports import BackendCodec
from fennelfork_daemon.routes._request_reporter import RequestReporter

_MS_PER_SECOND: Final = 1000
_LEAST_MS: Final = 1.0
# Calls that are not needed any more may end by themselves within this time:
# that tells how the server is and saves a new connection. Servers pause for
# some 300 ms.
_LINGER_MS: Final = 400.0


@attrs.frozen(kw_only=True)
class CallParts:
    """What the calls of all requests share."""

    clock: Clock
    pools: ServerPools
    selector: Selector
    codec: BackendCodec
    reporter: RequestReporter
    guard: RequestGuard


CallOutcome = Result[BackendAnswer, Failure]


@attrs.define(kw_only=True)
class RequestCalls:
    """Runs the calls of one request, each in a green thread of its own."""

    _parts: CallParts
    _ask: Ask
    _pace: LatencyBaseline
    _end_ms: float
    _fresh: bool
    _tell: Callable[[int, CallOutcome], None]
    _running: dict[int, GreenThread] = attrs.field(factory=dict)
    _ending: AttemptOutcome = Inconclusive()

    def launch(self, sends: list[Send]) -> None:
        """Start calls."""
        for send in sends:
            state = self._parts.selector.states.of(send.server.incarnation)
            state.record_sent(send.attempt, send.sent_ms)
            self._running[send.attempt] = eventlet.spawn(self._run, send)

    def linger(self) -> None:
        """Let the calls that still run end by themselves, for a while."""
        if self._running:
            self._ending = Unresponsive()
            eventlet.spawn_after(
                _LINGER_MS / _MS_PER_SECOND,
                self.cancel,
            )

    def cancel(self) -> None:
        """End all calls now, so that their servers stop working."""
        for thread in tuple(self._running.values()):
            thread.kill()

    def _run(self, send: Send) -> None:
        try:
            outcome = self._carry(send)
        except GreenletExit:
            self._ended(send, self._ending)
            return
        self._ended(send, self._end_of(send, outcome))
        self._tell(send.attempt, outcome)
        if is_successful(outcome):
            self._parts.guard.note_answer(send, self._ask)
        elif outcome.failure().connection_lost:
            self._look_after(send)

    def _look_after(self, send: Send) -> None:
        """See whether the server of a call that broke off has ended.

        One that said that it leaves may do so whenever its time is over.
        """
        leaves = self._parts.selector.directory.is_draining(send.server)
        if not leaves and has_ended(address(send.server.address)):
            self._parts.guard.note_end(send, self._ask)

    def _carry(self, send: Send) -> CallOutcome:
        left_ms = self._end_ms - self._parts.clock.now_ms()
        call = self._parts.codec.write_call(
            self._ask,
            send.server,
            max(_LEAST_MS, left_ms),
        )
        if self._fresh:
            call = attrs.evolve(call, fresh=True)
        pool = self._parts.pools.of(send.server)
        response = pool.carry(call, Trace())
        return response.bind(self._parts.codec.read_answer).alt(self._judged)

    def _judged(self, failure: Failure) -> Failure:
        is_warmed_up = self._parts.selector.shares.is_settled
        return classify_reset(failure, is_warmed_up=is_warmed_up)

    def _end_of(self, send: Send, outcome: CallOutcome) -> AttemptOutcome:
        if is_successful(outcome):
            return Succeeded()
        left_ms = self._end_ms - send.sent_ms
        return classify_failure(outcome.failure(), left_ms)

    def _ended(self, send: Send, end: AttemptOutcome) -> None:
        self._running.pop(send.attempt, None)
        record = AttemptRecord(
            send=send,
            now_ms=self._parts.clock.now_ms(),
            pace=self._pace,
            nearby=self._parts.selector.distances.is_local(
                send.server.data_centre,
            ),
        )
        state = self._parts.selector.states.of(send.server.incarnation)
        before = state.ejection.is_ejected(record.now_ms)
        returning = state.ejection.in_slow_start
        record_outcome(end, record, state)
        if returning and not state.ejection.in_slow_start:
            self._parts.reporter.back(send)
        if not before and state.ejection.is_ejected(record.now_ms):
            self._parts.reporter.ejected(
                send,
                end,
                state.ejection.ejected_until_ms - record.now_ms,
                state.outstanding,
            )
