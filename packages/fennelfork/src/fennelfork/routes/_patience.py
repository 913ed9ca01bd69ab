"""Patience: the time at which a request is answered without missing parts."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

import attrs

from fennelfork.routes._answer_delay import AnswerDelays
from fennelfork.routes._latency_baseline import LatencyBaseline
from fennelfork.routes._request_times import RequestTimes
from fennelfork.routes._route import Route
from fennelfork.routes._send import Send
from fennelfork.routes._sender import DispatchParts
from fennelfork.routes._server_state import ServerStates
from fennelfork.routes._sub_request import SubRequest

# Value of a late answer, as a fraction of the value of one in time.
_LATE_VALUE: Final = 0.1
# A wait has to add at least this fraction of the value of a complete answer.
_MIN_GAIN: Final = 0.005


@attrs.frozen(kw_only=True)
class PartForecast:
    """Forecast of the responses that a request waits for."""

    _states: ServerStates
    _latency_baseline: LatencyBaseline
    _max_attempts: int

    def arrival_chance(
        self, sub_request: SubRequest[Any], now_ms: float, until_ms: float
    ) -> float:
        """Return the chance that a missing response arrives until a time.

        Args:
            sub_request: sub-request without a response.
            now_ms: current time.
            until_ms: time until which the response is of use.
        """
        missing_chance = 1.0
        for send in sub_request.in_flight.values():
            missing_chance *= 1 - self._attempt_chance(send, now_ms, until_ms)
        hedge_at_ms = max(now_ms, sub_request.hedge_at_ms)
        if self._may_hedge(sub_request) and hedge_at_ms < until_ms:
            missing_chance *= 1 - self._hedge_chance(until_ms - hedge_at_ms)
        return 1 - missing_chance

    def _may_hedge(self, sub_request: SubRequest[Any]) -> bool:
        return (
            sub_request.is_waiting
            and sub_request.possible_runs < self._max_attempts
        )

    def _attempt_chance(
        self, send: Send, now_ms: float, until_ms: float
    ) -> float:
        state = self._states.for_incarnation(send.server.incarnation)
        if state.ejection.is_ejected(now_ms):
            return 0
        baseline = self._latency_baseline
        expected_ms = baseline.expected_ms(
            send.server.data_centre, state.latency_ratio(now_ms)
        )
        return baseline.response_times.arrival_chance(
            now_ms - send.sent_ms, until_ms - now_ms, expected_ms
        )

    def _hedge_chance(self, wait_ms: float) -> float:
        """Return the chance of a hedge whose server is not chosen yet."""
        response_times = self._latency_baseline.response_times
        return response_times.arrival_chance(
            0, wait_ms, response_times.hedge_ms(self._latency_baseline.usual_ms)
        )


@attrs.frozen(kw_only=True)
class Patience:
    """Weighs the parts that may still arrive against a late answer.

    Attributes:
        answer_by_ms: time at which the answer has to leave this daemon.
        first_check_ms: time before which no part is late.
    """

    answer_by_ms: float
    first_check_ms: float
    _latest_ms: float
    _delays: AnswerDelays
    _forecast: PartForecast

    def choose_answer_ms(
        self,
        sub_requests: Iterable[SubRequest[Any]],
        now_ms: float,
    ) -> float:
        """Return the time at which the request is best answered.

        The value of an answer grows with the square of its share of parts.

        Args:
            sub_requests: all sub-requests of the request.
            now_ms: current time.
        """
        known = tuple(sub_requests)
        missing = [
            sub_request for sub_request in known if sub_request.is_waiting
        ]
        parts = sum(sub_request.part is not None for sub_request in known)
        best_ms = now_ms
        best_value = self._value_now(parts, len(known), now_ms)
        best_value += _MIN_GAIN
        for level in self._delays.levels:
            until_ms = min(self._latest_ms, self.answer_by_ms - level.delay_ms)
            if until_ms <= now_ms:
                continue
            value = _in_time_value(level.share) * self._expected_coverage(
                parts, len(known), missing, (now_ms, until_ms)
            )
            if value >= best_value:
                best_ms, best_value = until_ms, value
        return best_ms

    def _value_now(self, parts: int, total: int, now_ms: float) -> float:
        share = self._delays.share_within(self.answer_by_ms - now_ms)
        return _in_time_value(share) * (parts / total) ** 2

    def _expected_coverage(
        self,
        parts: int,
        total: int,
        missing: Sequence[SubRequest[Any]],
        times: tuple[float, float],
    ) -> float:
        """Return the expected square of the share of parts."""
        now_ms, until_ms = times
        chances = [
            self._forecast.arrival_chance(sub_request, now_ms, until_ms)
            for sub_request in missing
        ]
        variance = sum(chance * (1 - chance) for chance in chances)
        return ((parts + sum(chances)) ** 2 + variance) / total**2


def patience(
    route: Route,
    times: RequestTimes,
    parts: DispatchParts,
    latency_baseline: LatencyBaseline,
) -> Patience:
    """Create the patience with one request.

    A request waits for the event loop before its arrival is seen, as its
    answer does.

    Args:
        route: route of the request.
        times: times of the request.
        parts: components that all dispatches share.
        latency_baseline: latency baseline of the route.
    """
    target_at_ms = times.received_ms + route.latency_target_ms
    return Patience(
        answer_by_ms=target_at_ms
        - times.caller_way_ms
        - parts.answer_delays.usual_lag_ms,
        latest_ms=target_at_ms - parts.answer_delays.min_reserve_ms,
        first_check_ms=times.received_ms + latency_baseline.hedge_after_ms,
        delays=parts.answer_delays,
        forecast=PartForecast(
            states=parts.selector.states,
            latency_baseline=latency_baseline,
            max_attempts=route.max_attempts,
        ),
    )


def _in_time_value(share: float) -> float:
    """Return the value of an answer that is in time with some probability."""
    return share + _LATE_VALUE * (1 - share)
