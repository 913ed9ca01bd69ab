"""Which requests are refused, and which are not."""

from core_builders_quarantine import ALL, MINUTE_MS, NAME, Daemons
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from fennelfork.routes import (
    RequestStanding,
    ServerEnd,
    SuspicionRecord,
)


class TestConviction:
    """What it takes to be refused."""

    def setup_method(self) -> None:
        """Begin with three daemons."""
        self.daemons = Daemons(3)

    def test_many_ends_at_once(self) -> None:
        """Servers that crash together convict nobody, however many."""
        for number in range(30):
            self.daemons.end(number % 3, alone=False)
        self.daemons.share()
        assert self.daemons.standing(0) is RequestStanding.SUSPECTED

    def test_crashes_one_after_the_other(self) -> None:
        """Nor do those that crash within a second, though met alone."""
        for _ in range(8):
            self.daemons.end(0, alone=True)
            self.daemons.time.advance(100)
        assert self.daemons.standing(0) is RequestStanding.SUSPECTED

    def test_told_late(self) -> None:
        """When an end is heard of says nothing of when it was."""
        self.daemons.end(0, alone=False)
        self.daemons.end(0, alone=True)
        self.daemons.end(1, alone=True)
        self.daemons.share(only=0)
        self.daemons.time.advance(2000)
        self.daemons.share()
        assert self.daemons.standing(2) is RequestStanding.SUSPECTED

    def test_second_round(self) -> None:
        """Two servers that it alone was risked on do, apart in time."""
        self.daemons.end(0, alone=False)
        self.daemons.end(0, alone=True)
        self.daemons.share()
        self.daemons.time.advance(1500)
        self.daemons.end(1, alone=True)
        assert self.daemons.standing(1) is RequestStanding.QUARANTINED
        self.daemons.share()
        assert self.daemons.standing(2) is RequestStanding.QUARANTINED

    def test_many_shards(self) -> None:
        """Also where more servers ended at once than are remembered."""
        for _ in range(90):
            self.daemons.end(0, alone=False)
        for _ in range(2):
            self.daemons.end(0, alone=True)
            self.daemons.time.advance(1500)
        assert self.daemons.standing(0) is RequestStanding.QUARANTINED

    def test_answer_between(self) -> None:
        """An answer clears: what ends whatever runs it has none."""
        self.daemons.end(0, alone=False)
        self.daemons.end(0, alone=True)
        self.daemons.share()
        self.daemons.time.advance(1500)
        assert self.daemons.all[1].note_answer(NAME, 'a', alone=False)
        self.daemons.share()
        assert self.daemons.standing(0) is None
        self.daemons.end(2, alone=False)
        self.daemons.end(2, alone=True)
        assert self.daemons.standing(2) is RequestStanding.SUSPECTED

    def test_answer_of_another_service(self) -> None:
        """It clears of what that service lost, of nothing else."""
        self.daemons.end(0, alone=False, service='a')
        self.daemons.end(0, alone=False, service='b')
        assert not self.daemons.all[0].note_answer(NAME, 'b', alone=False)
        found = self.daemons.all[0].find(NAME)
        assert found is not None
        assert found.services == {'a'}
        assert self.daemons.all[0].note_answer(NAME, 'a', alone=False)

    def test_answer_to_the_one_at_risk(self) -> None:
        """It clears of all, though some services may have no server now."""
        for service in 'abc':
            self.daemons.end(0, alone=False, service=service)
        first = self.daemons.all[0]
        assert not first.note_answer(NAME, 'x', alone=True)
        assert first.note_answer(NAME, 'b', alone=True)
        assert self.daemons.standing(0) is None


class TestMemory:
    """For how long something is held against a request."""

    def setup_method(self) -> None:
        """Put a request into quarantine at two daemons."""
        self.daemons = Daemons(2)
        self.daemons.convict()

    def test_all_power_lost(self) -> None:
        """The store holds it for daemons that start anew."""
        self.daemons.all = [self.daemons.fresh()]
        self.daemons.share()
        assert self.daemons.standing(0) is RequestStanding.QUARANTINED

    def test_store_forgot(self) -> None:
        """A store that comes back from an older copy is told again."""
        self.daemons.held.clear()
        for daemon in self.daemons.all:
            daemon.exchange.keep((), told_age_ms=3000)
        self.daemons.all.append(self.daemons.fresh())
        self.daemons.share()
        assert self.daemons.standing(2) is RequestStanding.QUARANTINED

    def test_away_for_long(self) -> None:
        """Who heard nothing for long does not tell what others let go."""
        self.daemons.held.clear()
        exchange = self.daemons.all[0].exchange
        exchange.keep((), told_age_ms=11 * MINUTE_MS)
        assert self.daemons.standing(0) is None
        assert not exchange.take_news(ALL)

    def test_released(self) -> None:
        """A release reaches all, also who had missed it until now."""
        late = self.daemons.all.pop()
        first = self.daemons.all[0]
        assert first.release(NAME)
        self.daemons.share()
        late.exchange.keep(self.daemons.held, told_age_ms=3000)
        late.exchange.take(*self.daemons.held[NAME])
        assert late.find(NAME) is None
        assert not late.exchange.take_news(ALL)

    def test_ends_after_a_release(self) -> None:
        """It is judged anew."""
        self.daemons.all[0].release(NAME)
        self.daemons.share()
        self.daemons.end(0, alone=False)
        self.daemons.share()
        assert self.daemons.standing(1) is RequestStanding.SUSPECTED

    def test_over_after_a_day(self) -> None:
        """Nothing is held for longer, and the store does not keep it."""
        self.daemons.time.advance(25 * 60 * MINUTE_MS)
        self.daemons.share()
        assert self.daemons.standing(1) is None
        assert not self.daemons.held

    def test_overwritten(self) -> None:
        """Who wrote it first writes it again if another knew less."""
        less = SuspicionRecord(
            fingerprint=NAME,
            standing=RequestStanding.SUSPECTED,
            ends=(ServerEnd(run='x@0', service='a', alone=False),),
        )
        self.daemons.held[NAME] = (less, 99)
        for daemon in self.daemons.all:
            daemon.exchange.take(less, 99)
        self.daemons.share()
        written, _revision = self.daemons.held[NAME]
        assert written.standing is RequestStanding.QUARANTINED

    def test_bounded(self) -> None:
        """New ones every moment push out what the least is known of."""
        for number in range(1000):
            end = ServerEnd(run=f'r{number}', service='a', alone=False)
            self.daemons.all[0].note_end(f'{number:032x}', end)
        exchange = self.daemons.all[0].exchange
        assert len(exchange.take_news(ALL).records) <= 256
        assert len(exchange.records) == 256
        assert self.daemons.standing(0) is RequestStanding.QUARANTINED


class TestTrial:
    """How a request gets out again by itself."""

    def setup_method(self) -> None:
        """Put a request into quarantine."""
        self.daemons = Daemons(2)
        self.daemons.convict()

    def test_not_at_once(self) -> None:
        """Servers that crashed together come back first."""
        assert not self.daemons.all[0].trial_due(NAME)

    def test_one_for_all(self) -> None:
        """One trial is made, whoever makes it."""
        self.daemons.time.advance(31_000)
        assert self.daemons.all[1].trial_due(NAME)
        known = self.daemons.all[1].find(NAME)
        assert known is not None
        claimed = known.trial(NAME)
        self.daemons.held[NAME] = (claimed, 77)
        for daemon in self.daemons.all:
            daemon.exchange.take(claimed, 77)
            assert not daemon.trial_due(NAME)
        self.daemons.time.advance(60 * MINUTE_MS)
        assert not self.daemons.all[0].trial_due(NAME)

    def test_answered(self) -> None:
        """An answer to it clears the request everywhere."""
        assert self.daemons.all[0].note_answer(NAME, 'a', alone=False)
        self.daemons.share()
        assert self.daemons.standing(1) is None


class TestTelling:
    """What the store is still to be told after a call that failed."""

    def test_ends_after_it_was_forgotten(self) -> None:
        """What is known since is told, not that nothing is."""
        daemons = Daemons(1)
        exchange = daemons.all[0].exchange
        daemons.end(0, alone=False)
        exchange.take_news(ALL)
        daemons.all[0].release(NAME)
        gone = exchange.take_news(ALL)
        daemons.end(0, alone=False)
        exchange.tell_again(gone)
        news = exchange.take_news(ALL)
        assert [one.fingerprint for one in news.records] == [NAME]
        assert not news.gone


class QuarantineMachine(RuleBasedStateMachine):
    """Whatever happens in whatever order at three daemons and a store."""

    def __init__(self) -> None:
        """Begin with daemons that know nothing."""
        super().__init__()
        self.daemons = Daemons(3)
        self.rounds_ms: list[float] = []
        self.ends = 0

    @rule(
        daemon=st.integers(0, 2),
        alone=st.booleans(),
        service=st.sampled_from('ab'),
    )
    def end(self, daemon: int, alone: bool, service: str) -> None:
        """A server ends under the request."""
        self.daemons.end(daemon, alone=alone, service=service)
        self.ends += 1
        if alone:
            self.rounds_ms.append(self.daemons.time.at_ms)

    @rule(daemon=st.integers(0, 2))
    def answer(self, daemon: int) -> None:
        """Both services answer it, and all hear of it."""
        for service in 'ab':
            self.daemons.all[daemon].note_answer(NAME, service, alone=False)
        self.daemons.share()

    @rule(by_ms=st.integers(0, 5000))
    def wait(self, by_ms: int) -> None:
        """Time passes."""
        self.daemons.time.advance(by_ms)

    @rule()
    def share(self) -> None:
        """The daemons hear of each other."""
        self.daemons.share()

    @rule(daemon=st.integers(0, 2))
    def restart(self, daemon: int) -> None:
        """A daemon starts anew."""
        self.daemons.all[daemon] = self.daemons.fresh()

    @rule()
    def forget(self) -> None:
        """The store comes back without what it held."""
        self.daemons.held.clear()
        for daemon in self.daemons.all:
            daemon.exchange.keep((), told_age_ms=1000)

    @invariant()
    def refuses_only_with_grounds(self) -> None:
        """Nobody refuses a request that met fewer than two ends alone."""
        apart = self.rounds_ms and (
            self.rounds_ms[-1] - self.rounds_ms[0] >= 1000
        )
        grounds = apart and self.ends >= 3
        for daemon in range(3):
            if self.daemons.standing(daemon) is RequestStanding.QUARANTINED:
                assert grounds

    @invariant()
    def ends_are_counted_once(self) -> None:
        """No daemon knows of more ends alone than there were."""
        for daemon in self.daemons.all:
            most = max((one.rounds for one in daemon.records), default=0)
            assert most <= len(self.rounds_ms)


TestQuarantineMachine = QuarantineMachine.TestCase
