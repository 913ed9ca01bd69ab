"""Backend servers that fail a share of their requests, quickly.

Guards against a server that never fails several times in a row and is therefore
used at full weight, while another server of its service works.
"""

import random
from typing import Final

import pytest
from core_builders_routes import SHED, RoutingDaemon, latency_baseline

from fennelfork import FailureCode, may_have_run
from fennelfork.routes import (
    AttemptOutcome,
    AttemptRecord,
    BackendServer,
    Failed,
    SelectionCriteria,
    Send,
    Succeeded,
    record_outcome,
)

_LATENCY_TARGET_MS: Final = 174
_BASELINE_MS: Final = 20
_RESET: Final = Failed(
    failure=may_have_run(FailureCode.UNREACHABLE, 'reset by the other end')
)
_REQUESTS: Final = 400
_INTERVAL_MS: Final = 200


class TestFailingServers:
    """Selection while servers reset a share of their responses."""

    def setup_method(self) -> None:
        """Register one server nearby and two in other places."""
        self.daemon = RoutingDaemon()
        self.daemon.add_servers(['shard'])
        self.baseline = latency_baseline(_LATENCY_TARGET_MS)
        for _ in range(50):
            self.baseline.record(_BASELINE_MS)
        self.rng = random.Random(5)

    @pytest.mark.parametrize('share', [0.2, 0.4, 0.6])
    def test_other_server_is_preferred(self, share: float) -> None:
        """Few requests meet a server that fails, as another one works."""
        failed = self._failures({'here': share})
        assert failed < _REQUESTS * share / 4

    @pytest.mark.parametrize('share', [0.4, 0.6])
    def test_refusing_server(self, share: float) -> None:
        """A server that refuses a share of its requests counts as failing.

        A retry after a refusal uses the retry budget like any other.
        """
        refused = self._failures({'here': share}, Failed(failure=SHED))
        assert refused < _REQUESTS * share / 4

    def test_all_servers_refuse(self) -> None:
        """In an overload of all servers, the nearest ones stay preferred."""
        shares = dict.fromkeys(('here', 'near', 'far'), 0.5)
        self._failures(shares, Failed(failure=SHED))
        assert self.places['here'] > self.places['far']

    def test_two_servers_fail(self) -> None:
        """The third server of the service takes the requests."""
        failed = self._failures({'here': 0.4, 'near': 0.4})
        assert failed < _REQUESTS * 0.4 / 4

    def test_whole_service_fails(self) -> None:
        """All servers stay in use; the nearest ones get most requests."""
        failed = self._failures({'here': 0.4, 'near': 0.4, 'far': 0.4})
        assert 0.3 * _REQUESTS < failed < 0.5 * _REQUESTS
        assert self._choose() is not None

    def test_rare_failures(self) -> None:
        """A server that fails 1 of 100 requests keeps nearly all of them."""
        self._failures({'here': 0.01, 'near': 0.01, 'far': 0.01})
        assert self.places['here'] + self.places['near'] > 0.95 * _REQUESTS

    def test_recovered_server_returns(self) -> None:
        """A server that works again is the first choice some seconds later."""
        self._failures({'here': 0.6})
        self.daemon.time.advance(30_000)
        assert self._choose().data_centre == 'here'

    def _failures(
        self, shares: dict[str, float], failure: Failed = _RESET
    ) -> int:
        """Send requests one by one and return how many failed."""
        self.places = dict.fromkeys(('here', 'near', 'far'), 0)
        failures = 0
        for number in range(_REQUESTS):
            self.daemon.time.advance(_INTERVAL_MS)
            chosen = self._choose()
            self.places[chosen.data_centre] += 1
            share = shares.get(chosen.data_centre, 0)
            is_failure = self.rng.random() < share
            failures += is_failure
            self._record(number, chosen, failure if is_failure else Succeeded())
        return failures

    def _record(
        self, number: int, chosen: BackendServer, outcome: AttemptOutcome
    ) -> None:
        sent_ms = self.daemon.time.at_ms
        state = self.daemon.states.for_incarnation(chosen.incarnation)
        state.record_sent(number, sent_ms)
        record = AttemptRecord(
            send=Send(
                attempt=number, server=chosen, repeat=False, sent_ms=sent_ms
            ),
            now_ms=sent_ms + _BASELINE_MS,
            latency_baseline=self.baseline,
            nearby=chosen.data_centre == 'here',
        )
        record_outcome(outcome, record, state)

    def _choose(self) -> BackendServer:
        chosen = self.daemon.parts.selector.choose(
            SelectionCriteria(
                service='shard', tried=(), latency_baseline=self.baseline
            ),
        )
        assert chosen is not None
        return chosen
