"""Backend servers of an evacuated data centre get no requests.

Guards against any attempt, a retry or a hedge included, that is sent there.
"""

from typing import Any

from core_builders_routes import SHED, RoutingDaemon, route
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from fennelfork import FailureCode, Verdict
from fennelfork.routes import Dispatch, merge_failures

_PLACES = ('here', 'near', 'far')
_PLACE = st.sampled_from(_PLACES)


class TestEvacuation:
    """Attempts while a data centre is evacuated."""

    def setup_method(self) -> None:
        """Create a daemon with one server in each of three data centres."""
        self.daemon = RoutingDaemon()
        self.evacuations = self.daemon.directory.evacuations

    def test_first_attempt_and_retry(self) -> None:
        """Neither the first attempt nor a retry is sent there."""
        self.evacuations.start('here')
        dispatched = self.daemon.dispatch(route())
        first = dispatched.start(0)
        second = dispatched.on_failure(first[0].attempt, SHED, 1)
        assert first[0].server.data_centre == 'near'
        assert second[0].server.data_centre == 'far'
        assert not dispatched.on_failure(second[0].attempt, SHED, 2)

    def test_starts_during_the_request(self) -> None:
        """A hedge avoids a data centre that is evacuated since the start."""
        dispatched = self.daemon.dispatch(route())
        dispatched.start(0)
        self.evacuations.start('near')
        hedges = dispatched.send_hedges(3000)
        assert [send.server.data_centre for send in hedges] == ['far']

    def test_answer_in_flight_counts(self) -> None:
        """An answer of an attempt that was sent before is delivered."""
        dispatched: Dispatch[Any] = self.daemon.dispatch(route())
        first = dispatched.start(0)
        self.evacuations.start('here')
        dispatched.on_response(first[0].attempt, 'part', 50)
        assert dispatched.is_sufficient

    def test_only_servers_are_there(self) -> None:
        """Without another server, the request is refused as not run."""
        for place in _PLACES:
            self.evacuations.start(place)
        dispatched = self.daemon.dispatch(route())
        assert not dispatched.start(0)
        failure = merge_failures(
            dispatched.sub_requests.values(), timed_out=False
        )
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.code is FailureCode.NO_SERVER

    def test_ends(self) -> None:
        """After the end, the servers are used again."""
        assert self.evacuations.start('here')
        assert not self.evacuations.start('here')
        assert self.evacuations.end('here')
        assert not self.evacuations.end('here')
        sends = self.daemon.dispatch(route()).start(0)
        assert sends[0].server.data_centre == 'here'

    def test_listing(self) -> None:
        """A listing ends the evacuations that it lacks."""
        self.evacuations.start('here')
        self.evacuations.start('near')
        assert self.evacuations.retain(['near']) == ['here']
        assert self.evacuations.active == {'near'}


class EvacuationMachine(RuleBasedStateMachine):
    """Evacuations, requests, retries and hedges in any order."""

    def __init__(self) -> None:
        """Start with no evacuation and no request."""
        super().__init__()
        self.daemon = RoutingDaemon()
        self.evacuated: set[str] = set()
        self.requests: list[Dispatch[Any]] = []
        self.sends: list[Any] = []
        self.broken: list[str] = []

    @rule(place=_PLACE)
    def evacuate(self, place: str) -> None:
        """Evacuate a data centre."""
        self.daemon.directory.evacuations.start(place)
        self.evacuated.add(place)

    @rule(place=_PLACE)
    def readmit(self, place: str) -> None:
        """End an evacuation."""
        self.daemon.directory.evacuations.end(place)
        self.evacuated.discard(place)

    @rule(listed=st.sets(_PLACE))
    def read_listing(self, listed: set[str]) -> None:
        """Read all evacuations from the store."""
        self.daemon.directory.evacuations.retain(listed)
        for place in listed:
            self.daemon.directory.evacuations.start(place)
        self.evacuated = set(listed)

    @rule()
    def send_request(self) -> None:
        """Start a request."""
        request = self.daemon.dispatch(route())
        self.requests.append(request)
        self._record(request, request.start(self.daemon.time.at_ms))

    @precondition(lambda machine: machine.sends)
    @rule()
    def fail_attempt(self) -> None:
        """Let the oldest attempt fail, which allows a retry."""
        request, send = self.sends.pop(0)
        now_ms = self.daemon.time.at_ms
        self._record(request, request.on_failure(send.attempt, SHED, now_ms))

    @rule(by_ms=st.integers(min_value=1, max_value=500))
    def wait(self, by_ms: int) -> None:
        """Advance the clock and send the hedges that are due."""
        self.daemon.time.advance(by_ms)
        for request in self.requests:
            self._record(request, request.send_hedges(self.daemon.time.at_ms))

    @invariant()
    def nothing_is_sent_there(self) -> None:
        """No attempt went to a data centre during its evacuation."""
        assert not self.broken

    def _record(self, request: Dispatch[Any], sends: list[Any]) -> None:
        for send in sends:
            self.sends.append((request, send))
            if send.server.data_centre in self.evacuated:
                self.broken.append(send.server.instance)


TestEvacuationMachine = EvacuationMachine.TestCase
