"""Time of a partial answer, by load.

Guards against answers that leave parts out while there is time for them, and
against answers that wait for parts and arrive late.
"""

from typing import Any, Final

import pytest
from core_builders_routes import (
    UNREACHABLE,
    RoutingDaemon,
    fan_out,
    latency_baseline,
    route,
)

from fennelfork.routes import (
    AnswerDelays,
    Dispatch,
    FinishReason,
    LatencyBaseline,
    Send,
)

_TARGET_MS: Final = 87.0
_SHARDS: Final = 36
_RESPONSE_MS: Final = 12.0
_OTHER_REGION_MS: Final = 36.0


class TestPatience:
    """A query to 36 shards with a target of 87 ms, two parts missing."""

    def setup_method(self) -> None:
        """Create a daemon that has seen the usual response times."""
        self.daemon = RoutingDaemon()
        self.daemon.parts.answer_delays.min_reserve_ms = 0
        self.baseline = latency_baseline(_TARGET_MS)
        for _ in range(100):
            self.baseline.record(_RESPONSE_MS)
            _record(self.baseline, 'here', _RESPONSE_MS)
            _record(self.baseline, 'far', _OTHER_REGION_MS)
        self._lag(1)

    def test_waits_for_a_hedge(self) -> None:
        """One slow shard: its hedge in another region is waited for."""
        request, sends = self._start()
        self._respond(request, sends[1:])
        self.daemon.time.advance(30)
        assert request.send_hedges(30)
        assert self._answer_at(request, 50) > 30 + _OTHER_REGION_MS

    def test_unobserved_delays(self) -> None:
        """An answer leaves 36 ms before the target though no delay is seen."""
        self.daemon.parts.answer_delays.min_reserve_ms = (
            AnswerDelays().min_reserve_ms
        )
        request, sends = self._start()
        self._respond(request, sends[1:])
        assert self._answer_at(request, 30) == _TARGET_MS - 36

    def test_lagging_daemon(self) -> None:
        """A daemon whose event loop lags 30 ms answers that much sooner."""
        self._lag(30)
        request, sends = self._start()
        self._respond(request, sends[1:])
        assert self._answer_at(request, 20) < _TARGET_MS - 30

    def test_one_hiccup_in_many(self) -> None:
        """A single late wake-up does not shorten the wait of all requests."""
        self._lag(1)
        self.daemon.parts.answer_delays.record_lag(60)
        request, sends = self._start()
        self._respond(request, sends[1:])
        request.send_hedges(30)
        assert self._answer_at(request, 40) > _TARGET_MS / 2

    def test_far_caller(self) -> None:
        """A caller two regions away gets the answer sooner by the way to it."""
        request, sends = self._start(caller_way_ms=24)
        self._respond(request, sends[1:])
        assert self._answer_at(request, 20) < _TARGET_MS - 24

    def test_slow_server_is_expected(self) -> None:
        """A server known to be slow is waited for longer than its usual one."""
        chances = []
        for ratio in (1, 3):
            expected_ms = self.baseline.expected_ms('here', ratio)
            chances.append(
                self.baseline.response_times.arrival_chance(
                    2 * _RESPONSE_MS, _RESPONSE_MS, expected_ms
                )
            )
        assert chances[1] > chances[0]

    def test_dead_shard(self) -> None:
        """All servers of a shard are down: the others are answered at once."""
        request, sends = self._start()
        self._respond(request, sends[2:])
        failed = [sends[1]]
        while failed:
            failed = request.on_failure(failed[0].attempt, UNREACHABLE, 5)
        self._eject(sends[0])
        for send in request.send_hedges(30):
            self._eject(send)
        assert request.finish_reason(31) is FinishReason.PARTIAL

    def test_silent_server(self) -> None:
        """A response that is overdue many times over is not waited for."""
        for _ in range(200):
            _record(self.baseline, 'here', _RESPONSE_MS)
        chance = self.baseline.response_times.arrival_chance(
            20 * _RESPONSE_MS, 20, _RESPONSE_MS
        )
        assert chance == pytest.approx(0, abs=0.01)

    def test_after_the_target(self) -> None:
        """Once late, a sufficient answer is sent at once."""
        request, sends = self._start()
        self._respond(request, sends[8:])
        assert request.finish_reason(_TARGET_MS + 20) is None
        self._respond(request, sends[1:8], _TARGET_MS + 21)
        assert request.finish_reason(_TARGET_MS + 21) is FinishReason.PARTIAL

    def _start(
        self, caller_way_ms: float = 0
    ) -> tuple[Dispatch[Any], list[Send]]:
        request = self.daemon.dispatch(
            route(
                target=fan_out(_SHARDS, least=0.85),
                latency_target_ms=_TARGET_MS,
            ),
            self.baseline,
            caller_way_ms=caller_way_ms,
        )
        sends = request.start(0)
        self.daemon.mark_sent(sends)
        return request, sends

    def _respond(
        self, request: Dispatch[Any], sends: list[Send], now_ms: float = 12
    ) -> None:
        for send in sends:
            request.on_response(send.attempt, b'part', now_ms)

    def _answer_at(self, request: Dispatch[Any], from_ms: int) -> float:
        """Return the first time at which the request is answered."""
        for now_ms in range(from_ms, int(2 * _TARGET_MS)):
            if request.finish_reason(now_ms) is FinishReason.PARTIAL:
                return now_ms
        raise AssertionError('the request is not answered')

    def _lag(self, lag_ms: float) -> None:
        for _ in range(64):
            self.daemon.parts.answer_delays.record_lag(lag_ms)

    def _eject(self, send: Send) -> None:
        state = self.daemon.states.for_incarnation(send.server.incarnation)
        state.ejection.eject(send.sent_ms)


def _record(
    baseline: LatencyBaseline, data_centre: str, took_ms: float
) -> None:
    baseline.response_times.record(data_centre, took_ms, took_ms)
