"""Requests after a power loss, when all daemons restart at once.

Guards against lost requests while backend servers still count old connections
against their connection limits and reset the first new ones.
"""

from typing import Any

import attrs
import pytest
from core_builders_routes import (
    CONNECTION_RESET,
    NO_CONNECTION,
    SHED,
    TIMEOUT_MS,
    UNREACHABLE,
    RoutingDaemon,
    fan_out,
    latency_baseline,
    route,
)

from fennelfork import Failure, FailureCode, Verdict
from fennelfork.routes import (
    AttemptRecord,
    ConcurrencyLimits,
    Failed,
    FinishReason,
    SelectionCriteria,
    Send,
    classify_reset,
    record_outcome,
)
from fennelfork.servers import ConnectionLedger

_RESET_MS = 8
_ATTEMPT_MS = 30


class TestSubRequest:
    """A sub-request whose service has no available connection."""

    def setup_method(self) -> None:
        """Send a request to three shards."""
        self.daemon = RoutingDaemon()
        self.request = self.daemon.dispatch(route(target=fan_out(3, least=1)))
        self.sends = self.request.start(0)

    def test_cycles_through_servers(self) -> None:
        """Each server is tried once, then all servers again."""
        send = self.sends[0]
        asked = [send.server.incarnation]
        for _ in range(8):
            send = self._reset(send)[0]
            asked.append(send.server.incarnation)
        assert len(set(asked[:3])) == 3
        assert len(set(asked)) == 3

    def test_response(self) -> None:
        """The request completes once a connection is available."""
        send = self.sends[0]
        for _ in range(6):
            send = self._reset(send)[0]
        for other in (send, *self.sends[1:]):
            self.request.on_response(
                other.attempt, 'part', self.daemon.time.at_ms
            )
        assert (
            self.request.finish_reason(self.daemon.time.at_ms)
            is FinishReason.SETTLED
        )
        assert self.request.is_sufficient

    def test_deadline(self) -> None:
        """No retry is sent after the deadline of the request."""
        self.daemon.time.advance(TIMEOUT_MS)
        assert not self._reset(self.sends[0])
        finish_reason = self.request.finish_reason(self.daemon.time.at_ms)
        assert finish_reason is FinishReason.TIMEOUT

    def test_refused_connections(self) -> None:
        """Servers that refuse connections are not tried again."""
        send = self.sends[0]
        for _ in range(2):
            send = self._fail(send, UNREACHABLE)[0]
        assert not self._fail(send, UNREACHABLE)

    def test_needs_no_retry_budget(self) -> None:
        """Attempts that reach no server do not use the retry budget."""
        daemon = RoutingDaemon(ratio=0)
        request = daemon.dispatch(route(target=fan_out(1)))
        send = request.start(0)[0]
        for _ in range(7):
            send = request.on_failure(send.attempt, NO_CONNECTION, 1)[0]
        assert not send.repeat

    def test_reset_after_the_request_was_sent(self) -> None:
        """The server may have run the request, so a retry needs the budget."""
        daemon = RoutingDaemon(ratio=0)
        request = daemon.dispatch(route(target=fan_out(1)))
        send = request.start(0)[0]
        assert not request.on_failure(send.attempt, CONNECTION_RESET, 1)
        paying = RoutingDaemon(ratio=1).dispatch(route(target=fan_out(1)))
        send = paying.start(0)[0]
        assert paying.on_failure(send.attempt, CONNECTION_RESET, 1)[0].repeat

    def test_repeated_reset(self) -> None:
        """Servers that may have run the request count, soon after a start too."""
        request = self.daemon.dispatch(route(target=fan_out(1)))
        sends = request.start(0)
        count = 0
        while sends:
            count += 1
            sends = request.on_failure(
                sends[0].attempt, CONNECTION_RESET, count
            )
        assert count == route().max_attempts
        sub_request = next(iter(request.sub_requests.values()))
        assert sub_request.verdict is Verdict.MAY_HAVE_RUN

    def test_reset_of_non_idempotent_request(self) -> None:
        """A non-idempotent request is not retried."""
        request = self.daemon.dispatch(route(idempotent=False))
        send = request.start(0)[0]
        assert not request.on_failure(send.attempt, CONNECTION_RESET, 1)

    def _reset(self, send: Send) -> list[Send]:
        return self._fail(send, NO_CONNECTION)

    def _fail(self, send: Send, failure: Any) -> list[Send]:
        self.daemon.time.advance(_RESET_MS)
        return self.request.on_failure(
            send.attempt,
            failure,
            self.daemon.time.at_ms,
        )


class TestServer:
    """A server that resets a connection at its connection limit."""

    def setup_method(self) -> None:
        """Record an attempt that found no connection."""
        self.daemon = RoutingDaemon()
        request = self.daemon.dispatch(route())
        self.send = request.start(0)[0]
        self.daemon.mark_sent([self.send])
        self.state = self.daemon.states.for_incarnation(
            self.send.server.incarnation
        )
        record = AttemptRecord(
            send=self.send,
            now_ms=_RESET_MS,
            latency_baseline=latency_baseline(300),
            nearby=True,
        )
        self.daemon.time.advance(_RESET_MS)
        record_outcome(Failed(failure=NO_CONNECTION), record, self.state)

    def test_is_not_ejected(self) -> None:
        """A server at its connection limit is not ejected."""
        assert not self.state.ejection.is_ejected(_RESET_MS)
        assert self.state.outstanding == 0

    def test_is_avoided_for_a_while(self) -> None:
        """Other servers are preferred until the delay has passed."""
        assert self._choice() != self.send.server.incarnation
        self.daemon.time.advance(300)
        assert self._choice() == self.send.server.incarnation

    def _choice(self) -> str:
        wanted = SelectionCriteria(
            service='archive', tried=(), latency_baseline=latency_baseline(300)
        )
        chosen = self.daemon.parts.selector.choose(wanted)
        assert chosen is not None
        return chosen.incarnation


class TestConnections:
    """Connections to a server at its connection limit."""

    def test_delay_of_new_connections(self) -> None:
        """Open connections stay in use; new ones are opened after a delay."""
        ledger = ConnectionLedger(limit=3)
        first = ledger.use(0, fresh=False)
        second = ledger.use(0, fresh=False)
        ledger.release(second.connection, _RESET_MS, usable=False)
        ledger.record_refused_connection(_RESET_MS)
        assert ledger.use(_ATTEMPT_MS, fresh=False) is None
        ledger.release(first.connection, _ATTEMPT_MS, usable=True)
        assert not ledger.use(_ATTEMPT_MS, fresh=False).opened
        assert ledger.use(_RESET_MS + 250, fresh=False).opened


class TestReset:
    """Classification of the reset of a new connection before a response."""

    @pytest.mark.parametrize(
        ('is_warmed_up', 'code'),
        [(False, FailureCode.QUEUE_FULL), (True, FailureCode.UNREACHABLE)],
    )
    def test_only_soon_after_a_start(
        self,
        is_warmed_up: bool,  # a parameter of the test
        code: FailureCode,
    ) -> None:
        """After the start, a reset uses the retry budget and counts as failure.

        Guards against unlimited retries to a server that keeps resetting.
        """
        assert (
            classify_reset(CONNECTION_RESET, is_warmed_up=is_warmed_up).code
            is code
        )

    def test_is_no_crash(self) -> None:
        """A reset at the connection limit is not a crash of the server."""
        reset = attrs.evolve(CONNECTION_RESET, connection_lost=True)
        assert not classify_reset(reset, is_warmed_up=False).connection_lost
        assert classify_reset(reset, is_warmed_up=True).connection_lost

    @pytest.mark.parametrize('failure', [NO_CONNECTION, UNREACHABLE, SHED])
    def test_other_failures(self, failure: Failure) -> None:
        """Failures of requests that did not run stay unchanged."""
        assert classify_reset(failure, is_warmed_up=True) == failure

    def test_fleet_size_settles(self) -> None:
        """The fleet size is settled once other daemons had time to start."""
        daemon = RoutingDaemon()
        shares = daemon.parts.selector.shares
        assert not shares.is_settled
        daemon.limit_divisor.record(9)
        assert not shares.is_settled
        daemon.time.advance(3000)
        assert shares.is_settled


class TestConcurrencyLimit:
    """Waiting for a connection counts as overload if a response is late."""

    def test_late_without_connection(self) -> None:
        """The concurrency limit decreases as after failures."""
        daemon = RoutingDaemon()
        daemon.time.advance(5000)
        limits = ConcurrencyLimits(clock=daemon.clock)
        wanted = route(target=fan_out(1))
        for _ in range(50):
            limits.try_admit(wanted)
        request = daemon.dispatch(wanted)
        send = request.start(daemon.time.at_ms)[0]
        again = request.on_failure(send.attempt, NO_CONNECTION, 5000)[0]
        request.on_response(again.attempt, 'part', 5400)
        assert limits.record_outcome(request, 400)
        assert not limits.try_admit(wanted)
