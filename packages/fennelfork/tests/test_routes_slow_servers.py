"""Detection of backend servers that become slow for some seconds.

Guards against daemons of a large fleet, which send few requests to each server,
that detect a slow server too late or take a short pause for slowness.
"""

from typing import Final

import pytest
from core_builders_routes import RoutingDaemon, latency_baseline, server

from fennelfork.routes import SelectionCriteria, ServerState

_LATENCY_TARGET_MS: Final = 235
_BASELINE_MS: Final = 30
_SLOW_RATIO: Final = 8
_PAUSE_RATIO: Final = 250 / _BASELINE_MS
_REQUEST_INTERVAL_MS: Final = 670


class TestSlowServers:
    """Selection while the nearest server of a shard is slow."""

    def setup_method(self) -> None:
        """Register one server nearby and one in another region."""
        self.daemon = RoutingDaemon()
        for place in ('here', 'far'):
            self.daemon.directory.put(server('shard', place, data_centre=place))
        self.latency_baseline = latency_baseline(_LATENCY_TARGET_MS)
        for _ in range(50):
            self.latency_baseline.record(_BASELINE_MS)
        self.near = self.daemon.state_of('shard', 'here')

    def test_avoided_after_two_slow_responses(self) -> None:
        """The third request goes to the server in the other region."""
        assert self._slow_responses_until_avoided() == 2

    def test_returns_after_some_seconds(self) -> None:
        """The server is selected again after some seconds."""
        self._slow_responses_until_avoided()
        self.daemon.time.advance(15_000)
        assert self._chosen() == 'here'

    def test_stays_avoided_between_requests(self) -> None:
        """At 1.5 requests a second the server is avoided for the next requests."""
        self._slow_responses_until_avoided()
        for _ in range(3):
            self.daemon.time.advance(_REQUEST_INTERVAL_MS)
            assert self._chosen() == 'far'

    @pytest.mark.parametrize('between', [3, 8])
    def test_single_pause(self, between: int) -> None:
        """A single late response does not change the selection."""
        for _ in range(5):
            self._sample(self.near, _PAUSE_RATIO)
            assert self._chosen() == 'here'
            for _ in range(between):
                self._sample(self.near, 1)

    def _slow_responses_until_avoided(self) -> int:
        responses = 0
        while self._chosen() == 'here':
            self._sample(self.near, _SLOW_RATIO)
            responses += 1
        return responses

    def _sample(self, state: ServerState, ratio: float) -> None:
        self.daemon.time.advance(_REQUEST_INTERVAL_MS)
        state.record_latency(ratio, self.daemon.time.at_ms)

    def _chosen(self) -> str:
        wanted = SelectionCriteria(
            service='shard', tried=(), latency_baseline=self.latency_baseline
        )
        chosen = self.daemon.parts.selector.choose(wanted)
        assert chosen is not None
        return chosen.data_centre
