"""What is sent for one request, and when waiting stops."""

from typing import Any

from core_builders_routes import (
    AIM_MS,
    BROKEN,
    NO_CONNECTION,
    SHED,
    TIMEOUT_MS,
    UNREACHED,
    World,
    gather,
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
from fennelfork.routes import Ending, Selection, Send, failure_of, pace


class TestSending:
    """Copies within what the route and the budget allow."""

    def setup_method(self) -> None:
        """Begin with an empty world."""
        self.world = World()

    def test_nearest_first(self) -> None:
        """The server of the own data centre is asked."""
        sends = self.world.dispatch(route()).start(0)
        assert [send.server.instance for send in sends] == ['archive/here']
        assert not sends[0].repeat

    def test_silent_server_is_passed_over(self) -> None:
        """One that answers nothing at present gets no new work."""
        first = self.world.dispatch(route()).start(0)
        self.world.mark_sent(first)
        self.world.time.advance(200)
        sends = self.world.dispatch(route()).start(200)
        assert sends[0].server.instance == 'archive/near'

    def test_hedge_once_late(self) -> None:
        """A second copy goes to another server once the first is late."""
        request = self.world.dispatch(route())
        self.world.mark_sent(request.start(0))
        assert not request.late(50)
        self.world.time.advance(AIM_MS / 2)
        sends = request.late(AIM_MS / 2)
        assert [send.server.instance for send in sends] == ['archive/near']
        assert sends[0].repeat
        assert not request.late(AIM_MS)

    def test_no_hedge_to_a_silent_server(self) -> None:
        """A second copy to a server that answers nothing brings nothing."""
        for place in ('here', 'near', 'far'):
            state = self.world.state_of('archive', place)
            state.sent(-1, 0)
        self.world.time.advance(AIM_MS)
        request = self.world.dispatch(route())
        assert request.start(AIM_MS)
        assert not request.late(2 * AIM_MS)

    def test_hedge_to_a_busy_server(self) -> None:
        """One that only has much of this daemon's work may get the copy."""
        request = self.world.dispatch(route())
        request.start(0)
        for place in ('near', 'far'):
            standing = self.world.state_of('archive', place).standing
            standing.ramp = 0
        self.world.time.advance(AIM_MS / 2)
        assert request.late(AIM_MS / 2)

    def test_distance_counts_by_the_aim(self) -> None:
        """A slow server nearby is left sooner where the aim is short."""
        self.world.add_servers(['archive'])
        self.world.roster.remove('archive/near')
        near = self.world.state_of('archive', 'here')
        for aim_ms, place in ((1000.0, 'here'), (100.0, 'far')):
            known = pace(aim_ms)
            known.record(15)
            for _ in range(60):
                near.sample(6, 0)
            wanted = Selection(service='archive', tried=(), pace=known)
            chosen = self.world.parts.selector.choose(wanted)
            assert chosen.instance == f'archive/{place}'

    def test_not_idempotent_is_never_hedged(self) -> None:
        """A request that may run once waits for its one answer."""
        request = self.world.dispatch(route(idempotent=False))
        request.start(0)
        assert not request.late(AIM_MS)

    def test_not_idempotent_is_sent_again_if_not_run(self) -> None:
        """Only where it is certain that the server did not run it."""
        request = self.world.dispatch(route(idempotent=False))
        first = request.start(0)
        second = request.failed(first[0].attempt, SHED, 1)
        assert len(second) == 1
        assert not request.failed(second[0].attempt, BROKEN, 2)
        assert request.ending(2) is Ending.SETTLED
        legs = request.legs.values()
        assert failure_of(legs, timed_out=False).verdict is Verdict.MAY_HAVE_RUN

    def test_budget_used_up(self) -> None:
        """Without budget nothing is repeated."""
        self.world = World(ratio=0)
        request = self.world.dispatch(route())
        first = request.start(0)
        assert not request.failed(first[0].attempt, BROKEN, 1)

    def test_unreached_server_costs_no_budget(self) -> None:
        """What never arrived is not repeated by the next send."""
        self.world = World(ratio=0)
        request = self.world.dispatch(route())
        first = request.start(0)
        sends = request.failed(first[0].attempt, UNREACHED, 1)
        assert [send.repeat for send in sends] == [False]

    def test_no_connection_costs_no_budget(self) -> None:
        """A copy that found no connection has not arrived anywhere."""
        self.world = World(ratio=0)
        request = self.world.dispatch(route())
        first = request.start(0)
        sends = request.failed(first[0].attempt, NO_CONNECTION, 10)
        assert len(sends) == 1
        assert not sends[0].repeat

    def test_no_server(self) -> None:
        """Nothing ran where no server is known, and asking again may help."""
        request = self.world.dispatch(route())
        for place in ('here', 'near', 'far'):
            self.world.roster.remove(f'archive/{place}')
        assert not request.start(0)
        assert request.ending(0) is Ending.SETTLED
        failure = failure_of(request.legs.values(), timed_out=False)
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.retry_after_ms


class TestEnding:
    """When a gathered answer goes out."""

    def setup_method(self) -> None:
        """Send a request to four shards."""
        self.request = World().dispatch(route(target=gather(4)))
        self.sends = self.request.start(0)

    def test_whole(self) -> None:
        """At once when all parts are in."""
        self._answer(4)
        assert self.request.ending(1) is Ending.SETTLED

    def test_partial_at_the_aim(self) -> None:
        """At the aim with what suffices, no sooner."""
        self._answer(3)
        assert self.request.ending(AIM_MS / 2) is None
        assert self.request.ending(AIM_MS) is Ending.PARTIAL
        assert self.request.wake_ms(200) < AIM_MS

    def test_too_little_at_the_aim(self) -> None:
        """Below the least share it waits on, until there is enough."""
        self._answer(2)
        assert self.request.ending(AIM_MS) is None
        self.request.answered(self.sends[3].attempt, b'late', AIM_MS)
        assert self.request.ending(AIM_MS + 5) is Ending.PARTIAL

    def test_timeout(self) -> None:
        """Before the caller stops waiting, whatever is missing."""
        assert self.request.ending(TIMEOUT_MS - 40) is None
        assert self.request.ending(TIMEOUT_MS - 20) is Ending.TIMEOUT

    def _answer(self, count: int) -> None:
        for send in self.sends[:count]:
            self.request.answered(send.attempt, b'part', 1)


class DispatchMachine(RuleBasedStateMachine):
    """One request under any order of answers, failures and time."""

    def __init__(self) -> None:
        """Prepare an empty world."""
        super().__init__()
        self.world = World(ratio=2)
        self.now_ms = 0.0
        self.open: dict[int, Send] = {}
        self.may_run: dict[str, set[str]] = {}
        self.request: Any = None

    @initialize(shards=st.integers(1, 4), idempotent=st.booleans())
    def start(self, shards: int, idempotent: bool) -> None:
        """Send the first copies."""
        target = gather(shards)
        wanted = route(target=target, idempotent=idempotent)
        self.request = self.world.dispatch(wanted)
        self._launch(self.request.start(0))

    @rule(by_ms=st.floats(1, 400))
    def wait(self, by_ms: float) -> None:
        """Time passes."""
        self.now_ms += by_ms
        self.world.time.advance(by_ms)
        self._launch(self.request.late(self.now_ms))

    @rule(data=st.data(), failure=st.sampled_from([SHED, UNREACHED, BROKEN]))
    def fail(self, data: st.DataObject, failure: Any) -> None:
        """A copy fails."""
        send = self._take(data)
        if send is None:
            return
        if failure.verdict is Verdict.NOT_RUN:
            self.may_run[send.server.service].discard(send.server.instance)
        self._launch(
            self.request.failed(send.attempt, failure, self.now_ms),
        )

    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        """A copy is answered."""
        send = self._take(data)
        if send is not None:
            self.request.answered(
                send.attempt,
                send.server.service,
                self.now_ms,
            )

    @invariant()
    def attempts_are_bounded(self) -> None:
        """No more servers of a service may run it than the route allows."""
        if self.request is None:
            return
        most = (
            self.request.route.attempts if self.request.route.idempotent else 1
        )
        assert all(len(ran) <= most for ran in self.may_run.values())

    @invariant()
    def it_ends(self) -> None:
        """With nothing open it is settled; past its time it is over."""
        if self.request is None:
            return
        ending = self.request.ending(self.now_ms)
        if not self.open:
            assert ending is not None
        if self.now_ms >= TIMEOUT_MS:
            assert ending is not None

    @invariant()
    def parts_are_of_their_service(self) -> None:
        """Each service has at most its own part."""
        if self.request is not None:
            for service, leg in self.request.legs.items():
                assert leg.part in {None, service}

    def _launch(self, sends: list[Send]) -> None:
        self.world.mark_sent(sends)
        for send in sends:
            self.open[send.attempt] = send
            ran = self.may_run.setdefault(send.server.service, set())
            ran.add(send.server.instance)

    def _take(self, data: st.DataObject) -> Send | None:
        if not self.open:
            return None
        attempt = data.draw(st.sampled_from(sorted(self.open)))
        return self.open.pop(attempt)


TestDispatchMachine = DispatchMachine.TestCase
