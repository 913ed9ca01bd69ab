"""Observations of this daemon about each backend server."""

import math
from typing import Final

import attrs

from fennelfork.servers._connection import CONNECT_BACKOFF_MS
from fennelfork.servers._ejection import EjectionState
from fennelfork.servers._rank import ObservedLatency

# Half-life of the deviation of an idle server's latency from the baseline. Slow
# periods last some seconds, and a daemon of a large fleet sends a request to
# the same server about once a second.
_LATENCY_HALF_LIFE_MS: Final = 6000.0
# High enough that two slow responses in a row move requests to another region,
# and low enough that a single slow response, which may be a pause, does not. Each
# further slow response may cost a caller a part.
_LATENCY_GAIN: Final = 0.4
_HALF: Final = 0.5
# Weights of a failed and of a successful attempt in the failure rate. The weight
# of a success is lower, so that a server that fails half of its requests keeps a
# high rate between two failures.
_FAILURE_WEIGHT: Final = 0.3
_SUCCESS_WEIGHT: Final = 0.2
# Half-life of the failure rate of a server that gets no requests.
_FAILURE_HALF_LIFE_MS: Final = 6000.0
_MIN_LATENCY_RATIO: Final = 0.1


@attrs.define(kw_only=True)
class ServerState:
    """Observations of this daemon about one backend server.

    Attributes:
        ejection: ejection state of the server.
        cold_sends_ms: times of the recent requests to the server while cold.
    """

    ejection: EjectionState = attrs.field(factory=EjectionState)
    cold_sends_ms: list[float] = attrs.field(factory=list)
    _sent_ms: dict[int, float] = attrs.field(factory=dict)
    _busy_since_ms: float = math.inf
    _last_response_ms: float = -math.inf
    _last_sample_ms: float = -math.inf
    _no_connection_until_ms: float = -math.inf
    _failure_rate: float = 0
    _last_result_ms: float = -math.inf
    _latency_ratio: ObservedLatency = attrs.field(
        factory=lambda: ObservedLatency(mean_ms=1, gain=_LATENCY_GAIN),
    )

    @property
    def outstanding(self) -> int:
        """The number of attempts of this daemon that are in flight."""
        return len(self._sent_ms)

    def record_sent(self, attempt: int, now_ms: float) -> None:
        """Record that an attempt was sent."""
        if not self._sent_ms:
            self._busy_since_ms = now_ms
        self._sent_ms[attempt] = now_ms

    def record_write(self, attempt: int, now_ms: float) -> None:
        """Record that the request of an attempt is being written.

        The server is busy with the attempt only from now on.
        """
        decided_ms = self._sent_ms.get(attempt)
        if decided_ms is None:
            # The state was removed with the registration of the server.
            return
        if self._busy_since_ms == decided_ms:
            self._busy_since_ms = now_ms
        self._sent_ms[attempt] = now_ms

    def record_response(self, attempt: int, now_ms: float) -> None:
        """Record that the server responded, with or without an error."""
        self._sent_ms.pop(attempt, None)
        self._last_response_ms = now_ms

    def record_abandoned(self, attempt: int) -> None:
        """Record that this daemon stopped waiting for an attempt."""
        self._sent_ms.pop(attempt, None)

    def record_no_connection(self, now_ms: float) -> None:
        """Record that no connection to the server was available.

        Servers with an available connection are preferred for the time during
        which this daemon opens no further connection to the server.

        Args:
            now_ms: current time.
        """
        self._no_connection_until_ms = now_ms + CONNECT_BACKOFF_MS

    def lacks_connection(self, now_ms: float) -> bool:
        """Return whether no connection to the server is available."""
        return now_ms < self._no_connection_until_ms

    def unresponsive_ms(self, now_ms: float) -> float:
        """Return how long the server is busy without sending a response."""
        if not self._sent_ms:
            return 0
        return now_ms - max(self._busy_since_ms, self._last_response_ms)

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Record the latency of an attempt.

        Args:
            ratio: latency as a multiple of the latency baseline of the route.
            now_ms: current time.
        """
        self._latency_ratio.mean_ms = self.latency_ratio(now_ms)
        self._latency_ratio.record(max(_MIN_LATENCY_RATIO, ratio))
        self._last_sample_ms = now_ms

    def record_result(self, now_ms: float, *, failed: bool) -> None:
        """Record whether an attempt failed at the server.

        Args:
            now_ms: current time.
            failed: whether the attempt failed.
        """
        rate = self.failure_rate(now_ms)
        if failed:
            self._failure_rate = rate + _FAILURE_WEIGHT * (1 - rate)
        else:
            self._failure_rate = rate * (1 - _SUCCESS_WEIGHT)
        self._last_result_ms = now_ms

    def failure_rate(self, now_ms: float) -> float:
        """Return the expected share of attempts that fail, from 0 to 1.

        The rate returns to 0 while no attempt is sent, so that the server is
        tried again.

        Args:
            now_ms: current time.
        """
        half_lives = (now_ms - self._last_result_ms) / _FAILURE_HALF_LIFE_MS
        remaining: float = _HALF**half_lives
        return self._failure_rate * remaining

    def latency_ratio(self, now_ms: float) -> float:
        """Return the expected latency as a multiple of the baseline.

        The ratio returns to 1, the value of an unknown server, while no
        latency is recorded.

        Args:
            now_ms: current time.
        """
        half_lives = (now_ms - self._last_sample_ms) / _LATENCY_HALF_LIFE_MS
        remaining: float = _HALF**half_lives
        return 1 + (self._latency_ratio.mean_ms - 1) * remaining


@attrs.define(kw_only=True)
class ServerStates:
    """States of all backend servers by incarnation."""

    _states: dict[str, ServerState] = attrs.field(factory=dict)

    def for_incarnation(self, incarnation: str) -> ServerState:
        """Return the state of a server incarnation, created on first use."""
        state = self._states.get(incarnation)
        if state is None:
            state = ServerState()
            self._states[incarnation] = state
        return state

    def retain(self, incarnations: set[str]) -> None:
        """Remove the states of all server incarnations that are not listed."""
        for incarnation in self._states.keys() - incarnations:
            self._states.pop(incarnation)
