"""Tests of the attempts of one request, and of the time of its answer."""

from typing import Any

from core_builders_routes import (
    BROKEN_CONNECTION,
    LATENCY_TARGET_MS,
    MISDIRECTED,
    NO_CONNECTION,
    SHED,
    TIMEOUT_MS,
    UNREACHABLE,
    RoutingDaemon,
    fan_out,
    route,
)
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fennelfork import Verdict
from fennelfork.routes import (
    FinishReason,
    SelectionCriteria,
    Send,
    can_meet_deadline,
    latency_baseline,
    merge_failures,
)


class TestCanMeetDeadline:
    """Callers that return with little time left, as after a loss of daemons."""

    def test_learned_latency(self) -> None:
        """A request is hopeless only if hardly any response is that fast."""
        baseline = latency_baseline(LATENCY_TARGET_MS)
        assert can_meet_deadline(baseline, 50)
        for number in range(100):
            baseline.record(100 + number)
        assert not can_meet_deadline(baseline, 120)
        assert can_meet_deadline(baseline, 150)


class TestSending:
    """Attempts within the limits of route and retry budget."""

    def setup_method(self) -> None:
        """Create a daemon without servers."""
        self.daemon = RoutingDaemon()

    def test_nearest_first(self) -> None:
        """The server in the data centre of the daemon is preferred."""
        sends = self.daemon.dispatch(route()).start(0)
        assert [send.server.instance for send in sends] == ['archive/here']
        assert not sends[0].repeat

    def test_skips_unresponsive_server(self) -> None:
        """An unresponsive server gets no new work."""
        first = self.daemon.dispatch(route()).start(0)
        self.daemon.mark_sent(first)
        self.daemon.time.advance(200)
        sends = self.daemon.dispatch(route()).start(200)
        assert sends[0].server.instance == 'archive/near'

    def test_single_hedge(self) -> None:
        """A late response causes one hedge, to another server."""
        request = self.daemon.dispatch(route())
        self.daemon.mark_sent(request.start(0))
        assert not request.send_hedges(50)
        self.daemon.time.advance(LATENCY_TARGET_MS / 2)
        sends = request.send_hedges(LATENCY_TARGET_MS / 2)
        assert [send.server.instance for send in sends] == ['archive/near']
        assert sends[0].repeat
        assert not request.send_hedges(LATENCY_TARGET_MS)

    def test_no_hedge_to_unresponsive_server(self) -> None:
        """No hedge is sent if all servers are unresponsive."""
        for place in ('here', 'near', 'far'):
            state = self.daemon.state_of('archive', place)
            state.record_sent(-1, 0)
        self.daemon.time.advance(LATENCY_TARGET_MS)
        request = self.daemon.dispatch(route())
        assert request.start(LATENCY_TARGET_MS)
        assert not request.send_hedges(2 * LATENCY_TARGET_MS)

    def test_hedge_to_busy_server(self) -> None:
        """A server at its concurrency limit may get a hedge."""
        request = self.daemon.dispatch(route())
        request.start(0)
        for place in ('near', 'far'):
            ejection = self.daemon.state_of('archive', place).ejection
            ejection.ramp = 0
        self.daemon.time.advance(LATENCY_TARGET_MS / 2)
        assert request.send_hedges(LATENCY_TARGET_MS / 2)

    def test_distance_depends_on_target(self) -> None:
        """A slow server nearby is avoided sooner if the latency target is low."""
        self.daemon.add_servers(['archive'])
        self.daemon.directory.remove('archive/near')
        near = self.daemon.state_of('archive', 'here')
        for latency_target_ms, place in ((1000.0, 'here'), (100.0, 'far')):
            baseline = latency_baseline(latency_target_ms)
            baseline.record(15)
            for _ in range(60):
                near.record_latency(6, 0)
            wanted = SelectionCriteria(
                service='archive', tried=(), latency_baseline=baseline
            )
            chosen = self.daemon.parts.selector.choose(wanted)
            assert chosen.instance == f'archive/{place}'

    def test_no_hedge_unless_idempotent(self) -> None:
        """A request that is not idempotent is not hedged."""
        request = self.daemon.dispatch(route(idempotent=False))
        request.start(0)
        assert not request.send_hedges(LATENCY_TARGET_MS)

    def test_retry_unless_idempotent(self) -> None:
        """A request that is not idempotent is retried only if it did not run."""
        request = self.daemon.dispatch(route(idempotent=False))
        first = request.start(0)
        second = request.on_failure(first[0].attempt, SHED, 1)
        assert len(second) == 1
        assert not request.on_failure(second[0].attempt, BROKEN_CONNECTION, 2)
        assert request.finish_reason(2) is FinishReason.SETTLED
        sub_requests = request.sub_requests.values()
        assert (
            merge_failures(sub_requests, timed_out=False).verdict
            is Verdict.MAY_HAVE_RUN
        )

    def test_exhausted_budget(self) -> None:
        """No retry is sent without budget."""
        self.daemon = RoutingDaemon(ratio=0)
        request = self.daemon.dispatch(route())
        first = request.start(0)
        assert not request.on_failure(first[0].attempt, BROKEN_CONNECTION, 1)

    def test_unreachable_server_spends_no_budget(self) -> None:
        """An attempt after an unreachable server is not an extra attempt."""
        self.daemon = RoutingDaemon(ratio=0)
        request = self.daemon.dispatch(route())
        first = request.start(0)
        sends = request.on_failure(first[0].attempt, UNREACHABLE, 1)
        assert [send.repeat for send in sends] == [False]

    def test_misdirected_attempt_spends_budget(self) -> None:
        """An attempt that another server rejected counts as an arrival."""
        for ratio, repeats in ((0, []), (1, [True])):
            self.daemon = RoutingDaemon(ratio=ratio)
            request = self.daemon.dispatch(route())
            first = request.start(0)
            sends = request.on_failure(first[0].attempt, MISDIRECTED, 1)
            assert [send.repeat for send in sends] == repeats

    def test_no_connection_spends_no_budget(self) -> None:
        """An attempt without a connection has not reached a server."""
        self.daemon = RoutingDaemon(ratio=0)
        request = self.daemon.dispatch(route())
        first = request.start(0)
        sends = request.on_failure(first[0].attempt, NO_CONNECTION, 10)
        assert len(sends) == 1
        assert not sends[0].repeat

    def test_no_server(self) -> None:
        """Without a server nothing has run, and the caller may retry."""
        request = self.daemon.dispatch(route())
        for place in ('here', 'near', 'far'):
            self.daemon.directory.remove(f'archive/{place}')
        assert not request.start(0)
        assert request.finish_reason(0) is FinishReason.SETTLED
        failure = merge_failures(request.sub_requests.values(), timed_out=False)
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.retry_after_ms


class TestEnding:
    """Time of the answer of a fan-out request."""

    def setup_method(self) -> None:
        """Dispatch a request to four shards."""
        self.request = RoutingDaemon().dispatch(route(target=fan_out(4)))
        self.sends = self.request.start(0)

    def test_complete(self) -> None:
        """A complete answer is sent at once."""
        self._answer(4)
        assert self.request.finish_reason(1) is FinishReason.SETTLED

    def test_partial_at_target(self) -> None:
        """A sufficient partial answer is sent at the latency target."""
        self._answer(3)
        assert self.request.finish_reason(LATENCY_TARGET_MS / 2) is None
        assert (
            self.request.finish_reason(LATENCY_TARGET_MS)
            is FinishReason.PARTIAL
        )
        assert self.request.next_timer_ms(200) < LATENCY_TARGET_MS

    def test_insufficient_at_target(self) -> None:
        """Below the minimum coverage, the request waits for more responses."""
        self._answer(2)
        assert self.request.finish_reason(LATENCY_TARGET_MS) is None
        self.request.on_response(
            self.sends[3].attempt, b'late', LATENCY_TARGET_MS
        )
        assert (
            self.request.finish_reason(LATENCY_TARGET_MS + 5)
            is FinishReason.PARTIAL
        )

    def test_timeout(self) -> None:
        """The request times out before the timeout of the caller."""
        assert self.request.finish_reason(TIMEOUT_MS - 40) is None
        assert (
            self.request.finish_reason(TIMEOUT_MS - 20) is FinishReason.TIMEOUT
        )

    def _answer(self, count: int) -> None:
        for send in self.sends[:count]:
            self.request.on_response(send.attempt, b'part', 1)


class DispatchMachine(RuleBasedStateMachine):
    """One request under any order of responses, failures and delays."""

    def __init__(self) -> None:
        """Create a daemon without servers."""
        super().__init__()
        self.daemon = RoutingDaemon(ratio=2)
        self.now_ms = 0.0
        self.in_flight: dict[int, Send] = {}
        self.may_run: dict[str, set[str]] = {}
        self.request: Any = None

    @initialize(shards=st.integers(1, 4), idempotent=st.booleans())
    def start(self, shards: int, idempotent: bool) -> None:
        """Send the first attempts."""
        target = fan_out(shards)
        wanted = route(target=target, idempotent=idempotent)
        self.request = self.daemon.dispatch(wanted)
        self._record(self.request.start(0))

    @rule(by_ms=st.floats(1, 400))
    def wait(self, by_ms: float) -> None:
        """Advance the clock and send the hedges that are due."""
        self.now_ms += by_ms
        self.daemon.time.advance(by_ms)
        self._record(self.request.send_hedges(self.now_ms))

    @rule(
        data=st.data(),
        failure=st.sampled_from([SHED, UNREACHABLE, BROKEN_CONNECTION]),
    )
    def fail(self, data: st.DataObject, failure: Any) -> None:
        """Fail an attempt."""
        send = self._remove_attempt(data)
        if send is None:
            return
        if failure.verdict is Verdict.NOT_RUN:
            self.may_run[send.server.service].discard(send.server.instance)
        self._record(
            self.request.on_failure(send.attempt, failure, self.now_ms),
        )

    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        """Deliver the response to an attempt."""
        send = self._remove_attempt(data)
        if send is not None:
            self.request.on_response(
                send.attempt,
                send.server.service,
                self.now_ms,
            )

    @invariant()
    def attempts_are_bounded(self) -> None:
        """The servers that may run the request are within the route limit."""
        if self.request is None:
            return
        limit = (
            self.request.route.max_attempts
            if self.request.route.idempotent
            else 1
        )
        assert all(len(ran) <= limit for ran in self.may_run.values())

    @invariant()
    def request_finishes(self) -> None:
        """A request without attempts in flight or past its timeout finishes."""
        if self.request is None:
            return
        finish_reason = self.request.finish_reason(self.now_ms)
        if not self.in_flight:
            assert finish_reason is not None
        if self.now_ms >= TIMEOUT_MS:
            assert finish_reason is not None

    @invariant()
    def responses_match_services(self) -> None:
        """A sub-request holds only a response of its own service."""
        if self.request is not None:
            for service, sub_request in self.request.sub_requests.items():
                assert sub_request.part in {None, service}

    def _record(self, sends: list[Send]) -> None:
        self.daemon.mark_sent(sends)
        for send in sends:
            self.in_flight[send.attempt] = send
            ran = self.may_run.setdefault(send.server.service, set())
            ran.add(send.server.instance)

    def _remove_attempt(self, data: st.DataObject) -> Send | None:
        if not self.in_flight:
            return None
        attempt = data.draw(st.sampled_from(sorted(self.in_flight)))
        return self.in_flight.pop(attempt)


TestDispatchMachine = DispatchMachine.TestCase
