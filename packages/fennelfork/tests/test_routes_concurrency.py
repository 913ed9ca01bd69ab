"""How many requests are worked on at once."""

from typing import Any

import pytest
from core_builders_routes import AIM_MS, SHED, World, gather, route
from hypothesis import given
from hypothesis import strategies as st

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import ConcurrencyLimit, ConcurrencyLimits

_MANY = 100
_CALM_MS = 5000
_SIGN_MS = 250


def _entered(limits: ConcurrencyLimits, wanted: int, **changes: Any) -> int:
    """Have requests enter, and count those that may."""
    return sum(limits.enter(route(**changes)) for _ in range(wanted))


class TestLimits:
    """None while all goes well, and one that follows what is seen."""

    def setup_method(self) -> None:
        """Begin with a daemon that has seen nothing."""
        self.time = ManualTime()
        self.time.advance(_CALM_MS)
        self.clock = manual_clock(self.time)
        self.limits = ConcurrencyLimits(clock=self.clock)

    def test_none_without_a_sign(self) -> None:
        """However many there are, and however late they are."""
        assert _entered(self.limits, _MANY) == _MANY
        self.limits.of(route()).note_late(self.clock.now_ms())
        assert self.limits.enter(route())

    def test_fewer_after_a_sign(self) -> None:
        """What is under way is too much, so less is taken in."""
        _entered(self.limits, _MANY)
        self.limits.note_lag()
        assert not self.limits.enter(route())
        for _ in range(_MANY):
            self.limits.leave(route())
        assert 70 < _entered(self.limits, _MANY) < 90

    def test_one_sign_in_many_requests(self) -> None:
        """Requests that fail together are one sign."""
        _entered(self.limits, _MANY)
        for _ in range(_MANY):
            self.limits.note_lag()
        assert self.limits.of(route()).limit == 80

    def test_a_few_are_always_taken_in(self) -> None:
        """Whatever is seen: a slow spell alone refuses nobody."""
        for _ in range(_MANY):
            self.time.advance(_SIGN_MS)
            self.limits.enter(route())
            self.limits.note_lag()
            self.limits.leave(route())
        assert _entered(self.limits, 6) == 6

    def test_late_answers_after_a_sign(self) -> None:
        """They are signs as well while others come."""
        _entered(self.limits, _MANY)
        self.limits.note_lag()
        limit = self.limits.of(route())
        self.time.advance(_SIGN_MS)
        limit.note_late(self.clock.now_ms())
        assert limit.limit < 80
        before = limit.limit
        self.time.advance(_CALM_MS)
        limit.note_late(self.clock.now_ms())
        assert limit.limit == before

    def test_back_to_none(self) -> None:
        """Good answers open the limit again."""
        _entered(self.limits, _MANY)
        self.limits.note_lag()
        limit = self.limits.of(route())
        self.time.advance(_CALM_MS)
        for _ in range(_MANY * _MANY):
            limit.note_good(self.clock.now_ms())
        assert limit.has_room(0)

    def test_urgent_first(self) -> None:
        """The last places are for the more urgent route."""
        _entered(self.limits, 50, priority=1)
        _entered(self.limits, 1, priority=2)
        self.limits.note_lag()
        for _ in range(51):
            self.limits.leave(route())
        less = _entered(self.limits, _MANY, priority=2)
        more = _entered(self.limits, _MANY, priority=1)
        assert less == 37
        assert less + more == 41

    def test_other_services(self) -> None:
        """Each set of services has a limit of its own."""
        _entered(self.limits, _MANY)
        self.limits.of(route()).note_overload(self.clock.now_ms())
        assert not self.limits.enter(route())
        assert self.limits.enter(route(target=gather(3)))


class TestSigns:
    """What a request that ended says."""

    def setup_method(self) -> None:
        """Begin with a daemon and one request to four shards."""
        self.time = ManualTime()
        self.time.advance(_CALM_MS)
        self.clock = manual_clock(self.time)
        self.limits = ConcurrencyLimits(clock=self.clock)
        self.route = route(target=gather(4), attempts=1)
        for _ in range(_MANY):
            self.limits.enter(self.route)
        self.request = World().dispatch(self.route)
        self.sends = self.request.start(0)

    @pytest.mark.parametrize(('shed', 'limited'), [(1, False), (2, True)])
    def test_turned_away(self, shed: int, limited: bool) -> None:
        """A sign only if the parts that are in do not suffice."""
        attempts = [send.attempt for send in self.sends]
        for attempt in attempts[shed:]:
            self.request.answered(attempt, 'part', 10)
        for attempt in attempts[:shed]:
            pending = [attempt]
            while pending:
                sends = self.request.failed(pending.pop(), SHED, 10)
                pending.extend(send.attempt for send in sends)
        assert self.limits.note_end(self.request, 10) is limited
        assert self.limits.enter(self.route) is not limited

    def test_late(self) -> None:
        """A late answer alone is no sign: servers pause."""
        for send in self.sends:
            self.request.answered(send.attempt, 'part', AIM_MS * 2)
        self.limits.note_end(self.request, AIM_MS * 2)
        assert self.limits.enter(self.route)


class TestLimit:
    """The limit of one set of services, over any course of events."""

    @given(
        st.lists(
            st.sampled_from(['in', 'out', 'good', 'late', 'sign', 'wait']),
            max_size=300,
        ),
    )
    def test_bounds(self, events: list[str]) -> None:
        """It never falls below a few, nor rises without bound."""
        limit = ConcurrencyLimit()
        signs = {
            'good': limit.note_good,
            'late': limit.note_late,
            'sign': limit.note_overload,
        }
        now_ms = float(_CALM_MS)
        for event in events:
            now_ms += _SIGN_MS if event == 'wait' else 1
            limit.under_way += (event == 'in') - (event == 'out')
            limit.under_way = max(0, limit.under_way)
            signs.get(event, float)(now_ms)
            assert 6 <= limit.limit <= 513
            assert limit.has_room(0) or limit.under_way >= 6
