"""Tests of the adaptive concurrency limits."""

from typing import Any

import pytest
from core_builders_routes import (
    LATENCY_TARGET_MS,
    SHED,
    RoutingDaemon,
    fan_out,
    route,
)
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import ConcurrencyLimit, ConcurrencyLimits, urgency_of

_MANY = 100
_RECOVERY_MS = 5000
_SIGNAL_INTERVAL_MS = 250


def _count_admitted(
    limits: ConcurrencyLimits, wanted: int, **changes: Any
) -> int:
    """Return the number of requests that are admitted."""
    return sum(limits.try_admit(route(**changes)) for _ in range(wanted))


class TestLimits:
    """Limits of one daemon, which apply only after overload signals."""

    def setup_method(self) -> None:
        """Create the limits of a daemon without traffic."""
        self.time = ManualTime()
        self.time.advance(_RECOVERY_MS)
        self.clock = manual_clock(self.time)
        self.limits = ConcurrencyLimits(clock=self.clock)

    def test_unlimited_without_overload(self) -> None:
        """Neither many requests nor late responses alone limit the requests."""
        assert _count_admitted(self.limits, _MANY) == _MANY
        self.limits.for_route(route()).record_late_response(self.clock.now_ms())
        assert self.limits.try_admit(route())

    def test_limit_after_overload(self) -> None:
        """An overload signal reduces the limit below the requests in flight."""
        _count_admitted(self.limits, _MANY)
        self.limits.record_lag()
        assert not self.limits.try_admit(route())
        for _ in range(_MANY):
            self.limits.release(route())
        assert 70 < _count_admitted(self.limits, _MANY) < 90

    def test_simultaneous_signals_count_once(self) -> None:
        """Overload signals at the same time decrease the limit once."""
        _count_admitted(self.limits, _MANY)
        for _ in range(_MANY):
            self.limits.record_lag()
        assert self.limits.for_route(route()).limit == 80

    def test_minimum_limit(self) -> None:
        """A minimum of requests is admitted however many signals occur."""
        for _ in range(_MANY):
            self.time.advance(_SIGNAL_INTERVAL_MS)
            self.limits.try_admit(route())
            self.limits.record_lag()
            self.limits.release(route())
        assert _count_admitted(self.limits, 6) == 6

    def test_late_responses_after_overload(self) -> None:
        """Late responses decrease the limit only shortly after other signals."""
        _count_admitted(self.limits, _MANY)
        self.limits.record_lag()
        limit = self.limits.for_route(route())
        self.time.advance(_SIGNAL_INTERVAL_MS)
        limit.record_late_response(self.clock.now_ms())
        assert limit.limit < 80
        before = limit.limit
        self.time.advance(_RECOVERY_MS)
        limit.record_late_response(self.clock.now_ms())
        assert limit.limit == before

    def test_recovery(self) -> None:
        """Successful requests raise the limit again."""
        _count_admitted(self.limits, _MANY)
        self.limits.record_lag()
        limit = self.limits.for_route(route())
        self.time.advance(_RECOVERY_MS)
        for _ in range(_MANY * _MANY):
            limit.record_success(self.clock.now_ms())
        assert limit.has_capacity(urgency_of(route(), None))

    def test_priorities(self) -> None:
        """The remaining capacity is reserved for the more urgent route."""
        _count_admitted(self.limits, 50, priority=1)
        _count_admitted(self.limits, 1, priority=2)
        self.limits.record_lag()
        for _ in range(51):
            self.limits.release(route())
        less = _count_admitted(self.limits, _MANY, priority=2)
        more = _count_admitted(self.limits, _MANY, priority=1)
        assert less == 37
        assert less + more == 41

    def test_other_services(self) -> None:
        """Each set of services has a separate limit."""
        _count_admitted(self.limits, _MANY)
        self.limits.for_route(route()).record_overload(self.clock.now_ms())
        assert not self.limits.try_admit(route())
        assert self.limits.try_admit(route(target=fan_out(3)))


class TestLag:
    """A process that lags, with two classes of requests to other services.

    Guards against a burst of the less urgent class that takes the credit of
    the urgent one through the processor that both share.
    """

    def setup_method(self) -> None:
        """Create the limits of a daemon with urgent gathers in flight."""
        self.time = ManualTime()
        self.time.advance(_RECOVERY_MS)
        self.limits = ConcurrencyLimits(clock=manual_clock(self.time))
        self.urgent = {'target': fan_out(10), 'priority': 0}
        _count_admitted(self.limits, 20, **self.urgent)

    def test_burst_of_less_urgent(self) -> None:
        """The burst gives way; the urgent requests are not limited."""
        _count_admitted(self.limits, 200, priority=2)
        self.limits.record_lag()
        assert self.limits.for_route(route()).limit == pytest.approx(120)
        assert _count_admitted(self.limits, _MANY, **self.urgent) == _MANY

    def test_cause_is_urgent(self) -> None:
        """The others keep a quarter, the urgent ones give up the rest."""
        _count_admitted(self.limits, 40, priority=2)
        self.limits.record_lag()
        assert self.limits.for_route(route()).limit == pytest.approx(10)
        urgent = self.limits.for_route(route(**self.urgent))
        assert urgent.limit == pytest.approx(18.2)


class TestSignals:
    """Overload signals of finished requests."""

    def setup_method(self) -> None:
        """Dispatch one request to four shards."""
        self.time = ManualTime()
        self.time.advance(_RECOVERY_MS)
        self.clock = manual_clock(self.time)
        self.limits = ConcurrencyLimits(clock=self.clock)
        self.route = route(target=fan_out(4), max_attempts=1)
        for _ in range(_MANY):
            self.limits.try_admit(self.route)
        self.request = RoutingDaemon().dispatch(self.route)
        self.sends = self.request.start(0)

    @pytest.mark.parametrize(('shed', 'limited'), [(1, False), (2, True)])
    def test_rejected_attempts(self, shed: int, limited: bool) -> None:
        """Rejected attempts are a signal if the other responses do not suffice."""
        attempts = [send.attempt for send in self.sends]
        for attempt in attempts[shed:]:
            self.request.on_response(attempt, 'part', 10)
        for attempt in attempts[:shed]:
            pending = [attempt]
            while pending:
                sends = self.request.on_failure(pending.pop(), SHED, 10)
                pending.extend(send.attempt for send in sends)
        assert self.limits.record_outcome(self.request, 10) is limited
        assert self.limits.try_admit(self.route) is not limited

    def test_late(self) -> None:
        """A late response alone is no overload signal, because servers pause."""
        for send in self.sends:
            self.request.on_response(
                send.attempt, 'part', LATENCY_TARGET_MS * 2
            )
        self.limits.record_outcome(self.request, LATENCY_TARGET_MS * 2)
        assert self.limits.try_admit(self.route)


class TestLimit:
    """The limit of one set of services under any order of events."""

    @given(
        st.lists(
            st.sampled_from(['in', 'out', 'good', 'late', 'sign', 'wait']),
            max_size=300,
        ),
    )
    def test_bounds(self, events: list[str]) -> None:
        """The limit stays between its lower and upper bound."""
        limit = ConcurrencyLimit()
        handlers = {
            'good': limit.record_success,
            'late': limit.record_late_response,
            'sign': limit.record_overload,
        }
        now_ms = float(_RECOVERY_MS)
        for event in events:
            now_ms += _SIGNAL_INTERVAL_MS if event == 'wait' else 1
            limit.in_flight += (event == 'in') - (event == 'out')
            limit.in_flight = max(0, limit.in_flight)
            handlers.get(event, float)(now_ms)
            assert 6 <= limit.limit <= 513
            assert (
                limit.has_capacity(urgency_of(route(), None))
                or limit.in_flight >= 6
            )
