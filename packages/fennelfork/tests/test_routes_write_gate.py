"""Last check of an attempt before its request is written.

Guards against requests that reach backend servers after the deadline or after
the answer, and against hedges of attempts that no server has received.
"""

import attrs
import pytest
from core_builders_routes import (
    LATENCY_TARGET_MS,
    TIMEOUT_MS,
    UNREACHABLE,
    RoutingDaemon,
    route,
)
from returns.pipeline import is_successful

from fennelfork import Failure, FailureCode, Verdict
from fennelfork.routes import Dispatch, RetryPolicy, Send

_LATE_MS = LATENCY_TARGET_MS


def _refusal(request: Dispatch[str], send: Send, now_ms: float) -> Failure:
    """Return why the write of an attempt is refused."""
    admitted = request.write_gate.admit(send.attempt, now_ms)
    assert not is_successful(admitted)
    return admitted.failure()


class TestRefusals:
    """Attempts whose requests must not be written any more."""

    def setup_method(self) -> None:
        """Send the first attempt of a request."""
        self.daemon = RoutingDaemon()
        self.request = self.daemon.dispatch(route())
        self.first = self.request.start(0)[0]

    def test_in_time(self) -> None:
        """The write is the time of an admitted attempt."""
        written = self.request.write_gate.admit(self.first.attempt, 20).unwrap()
        assert written == attrs.evolve(self.first, sent_ms=20)
        assert self.request.write_gate.write_delay_ms == 20

    def test_deadline_has_passed(self) -> None:
        """A request that was never written has certainly not run."""
        failure = _refusal(self.request, self.first, TIMEOUT_MS)
        assert failure.code is FailureCode.CANCELLED
        assert failure.verdict is Verdict.NOT_RUN
        self.request.on_failure(self.first.attempt, failure, TIMEOUT_MS)
        sub_request = self.request.sub_requests['archive']
        assert sub_request.verdict is Verdict.NOT_RUN
        assert not sub_request.possible_arrivals

    def test_caller_was_answered(self) -> None:
        """Nothing is written after the answer to the caller."""
        self.request.end()
        failure = _refusal(self.request, self.first, 20)
        assert 'the caller was answered' in failure.detail

    def test_service_has_responded(self) -> None:
        """A hedge that still waits when the response arrives is not written."""
        hedge = self.request.send_hedges(LATENCY_TARGET_MS / 2)[0]
        self.request.on_response(self.first.attempt, 'records', 170)
        failure = _refusal(self.request, hedge, 180)
        assert 'the service responded' in failure.detail

    def test_attempt_has_ended(self) -> None:
        """An attempt whose failure is known is not written."""
        self.request.on_failure(self.first.attempt, UNREACHABLE, 10)
        failure = _refusal(self.request, self.first, 20)
        assert 'has ended' in failure.detail

    @pytest.mark.parametrize('is_gone', [False, True])
    def test_server_leaves(self, is_gone: bool) -> None:
        """Nothing is written to a server that is known to leave or gone."""
        if is_gone:
            self.daemon.directory.discard(self.first.server.instance)
        else:
            self.daemon.directory.put(
                attrs.evolve(self.first.server, draining=True)
            )
        failure = _refusal(self.request, self.first, 20)
        assert failure.verdict is Verdict.NOT_RUN

    def test_budget_lapsed(self) -> None:
        """A hedge that nothing pays for at its write is not written."""
        hedge = self.request.send_hedges(LATENCY_TARGET_MS / 2)[0]
        self.daemon.budgets.policy = RetryPolicy(
            ratio=0, fixed=0, window_ms=1000
        )
        failure = _refusal(self.request, hedge, 180)
        assert 'retry budget' in failure.detail


class TestHedgeDelay:
    """The hedge of an attempt whose request is written late."""

    def setup_method(self) -> None:
        """Send the first attempt of a request and write it late."""
        self.daemon = RoutingDaemon()
        self.request = self.daemon.dispatch(route())
        first = self.request.start(0)[0]
        self.due_ms = self.request.latency_baseline.hedge_after_ms
        self.request.write_gate.admit(first.attempt, _LATE_MS)

    def test_counts_from_the_write(self) -> None:
        """The time before the write is not charged to the server."""
        assert not self.request.send_hedges(_LATE_MS + self.due_ms - 1)
        assert self.request.send_hedges(_LATE_MS + self.due_ms)

    def test_next_timer(self) -> None:
        """The request is not woken again and again before the hedge is due."""
        self.request.send_hedges(_LATE_MS + 1)
        assert self.request.next_timer_ms(_LATE_MS + 1) >= (
            _LATE_MS + self.due_ms
        )

    def test_hedge_that_was_sent(self) -> None:
        """A late write of an earlier attempt does not delay a later hedge."""
        request = self.daemon.dispatch(route(max_attempts=3))
        first = request.start(0)[0]
        request.send_hedges(self.due_ms)
        request.write_gate.admit(first.attempt, _LATE_MS)
        assert request.send_hedges(2 * self.due_ms)


class TestUnreadRequests:
    """Requests that a late event loop reads long after their arrival."""

    @pytest.mark.parametrize(('unread_ms', 'pays'), [(900, 1), (1100, 0)])
    def test_pay_for_nothing(self, unread_ms: float, pays: int) -> None:
        """They belong to an earlier window of the limit on extra attempts."""
        daemon = RoutingDaemon(ratio=1)
        request = daemon.dispatch(route())
        daemon.time.advance(unread_ms)
        request.start(unread_ms)
        assert len(request.send_hedges(2 * unread_ms)) == pays
