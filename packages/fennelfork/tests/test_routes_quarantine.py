"""Quarantine of poison requests, and release of ordinary requests."""

from core_builders_quarantine import ALL, MINUTE_MS, NAME, Daemons
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from fennelfork.routes import (
    RequestStatus,
    ServerCrash,
    SuspicionRecord,
)


class TestQuarantine:
    """Conditions under which a request is quarantined."""

    def setup_method(self) -> None:
        """Start three daemons."""
        self.daemons = Daemons(3)

    def test_simultaneous_crashes(self) -> None:
        """Simultaneous crashes do not quarantine a request."""
        for number in range(30):
            self.daemons.crash(number % 3, alone=False)
        self.daemons.synchronise()
        assert self.daemons.status(0) is RequestStatus.SUSPECTED

    def test_crashes_within_a_second(self) -> None:
        """Isolated crashes within a second do not quarantine a request."""
        for _ in range(8):
            self.daemons.crash(0, alone=True)
            self.daemons.time.advance(100)
        assert self.daemons.status(0) is RequestStatus.SUSPECTED

    def test_late_update(self) -> None:
        """The arrival time of an update is not the time of its crashes."""
        self.daemons.crash(0, alone=False)
        self.daemons.crash(0, alone=True)
        self.daemons.crash(1, alone=True)
        self.daemons.synchronise(only=0)
        self.daemons.time.advance(2000)
        self.daemons.synchronise()
        assert self.daemons.status(2) is RequestStatus.SUSPECTED

    def test_second_isolated_crash(self) -> None:
        """Two isolated crashes at different times quarantine a request."""
        self.daemons.crash(0, alone=False)
        self.daemons.crash(0, alone=True)
        self.daemons.synchronise()
        self.daemons.time.advance(1500)
        self.daemons.crash(1, alone=True)
        assert self.daemons.status(1) is RequestStatus.QUARANTINED
        self.daemons.synchronise()
        assert self.daemons.status(2) is RequestStatus.QUARANTINED

    def test_more_crashes_than_limit(self) -> None:
        """Isolated crashes are kept when the crash limit is exceeded."""
        for _ in range(90):
            self.daemons.crash(0, alone=False)
        for _ in range(2):
            self.daemons.crash(0, alone=True)
            self.daemons.time.advance(1500)
        assert self.daemons.status(0) is RequestStatus.QUARANTINED

    def test_response_between_crashes(self) -> None:
        """A response clears a request: a poison request gets none."""
        self.daemons.crash(0, alone=False)
        self.daemons.crash(0, alone=True)
        self.daemons.synchronise()
        self.daemons.time.advance(1500)
        assert self.daemons.all[1].record_response(NAME, 'a', alone=False)
        self.daemons.synchronise()
        assert self.daemons.status(0) is None
        self.daemons.crash(2, alone=False)
        self.daemons.crash(2, alone=True)
        assert self.daemons.status(2) is RequestStatus.SUSPECTED

    def test_response_of_another_service(self) -> None:
        """A response clears only the crashes of its own service."""
        self.daemons.crash(0, alone=False, service='a')
        self.daemons.crash(0, alone=False, service='b')
        assert not self.daemons.all[0].record_response(NAME, 'b', alone=False)
        found = self.daemons.all[0].find(NAME)
        assert found is not None
        assert found.services == {'a'}
        assert self.daemons.all[0].record_response(NAME, 'a', alone=False)

    def test_response_to_isolated_attempt(self) -> None:
        """A response to an isolated attempt clears the crashes of all services."""
        for service in 'abc':
            self.daemons.crash(0, alone=False, service=service)
        first = self.daemons.all[0]
        assert not first.record_response(NAME, 'x', alone=True)
        assert first.record_response(NAME, 'b', alone=True)
        assert self.daemons.status(0) is None


class TestRetention:
    """Retention of suspicions in daemons and in the store."""

    def setup_method(self) -> None:
        """Quarantine a request at two daemons."""
        self.daemons = Daemons(2)
        self.daemons.quarantine_request()

    def test_power_loss(self) -> None:
        """Restarted daemons read the quarantine from the store."""
        self.daemons.all = [self.daemons.new_daemon()]
        self.daemons.synchronise()
        assert self.daemons.status(0) is RequestStatus.QUARANTINED

    def test_store_lost_entries(self) -> None:
        """Daemons publish again to a store restored from a backup."""
        self.daemons.stored.clear()
        for daemon in self.daemons.all:
            daemon.exchange.reconcile((), last_update_age_ms=3000)
        self.daemons.all.append(self.daemons.new_daemon())
        self.daemons.synchronise()
        assert self.daemons.status(2) is RequestStatus.QUARANTINED

    def test_long_without_updates(self) -> None:
        """A daemon long without updates does not publish removed entries."""
        self.daemons.stored.clear()
        exchange = self.daemons.all[0].exchange
        exchange.reconcile((), last_update_age_ms=11 * MINUTE_MS)
        assert self.daemons.status(0) is None
        assert not exchange.take_updates(ALL)

    def test_released(self) -> None:
        """A release reaches a daemon that missed earlier updates."""
        delayed = self.daemons.all.pop()
        first = self.daemons.all[0]
        assert first.release(NAME)
        self.daemons.synchronise()
        delayed.exchange.reconcile(self.daemons.stored, last_update_age_ms=3000)
        delayed.exchange.apply_record(*self.daemons.stored[NAME])
        assert delayed.find(NAME) is None
        assert not delayed.exchange.take_updates(ALL)

    def test_crash_after_release(self) -> None:
        """A released request becomes suspected by a new crash."""
        self.daemons.all[0].release(NAME)
        self.daemons.synchronise()
        self.daemons.crash(0, alone=False)
        self.daemons.synchronise()
        assert self.daemons.status(1) is RequestStatus.SUSPECTED

    def test_expiry(self) -> None:
        """A quarantine expires after a day, and the store entry is removed."""
        self.daemons.time.advance(25 * 60 * MINUTE_MS)
        self.daemons.synchronise()
        assert self.daemons.status(1) is None
        assert not self.daemons.stored

    def test_overwritten(self) -> None:
        """The daemon that published a quarantine restores an overwritten entry."""
        weaker = SuspicionRecord(
            fingerprint=NAME,
            status=RequestStatus.SUSPECTED,
            crashes=(ServerCrash(run='x@0', service='a', alone=False),),
        )
        self.daemons.stored[NAME] = (weaker, 99)
        for daemon in self.daemons.all:
            daemon.exchange.apply_record(weaker, 99)
        self.daemons.synchronise()
        written, _revision = self.daemons.stored[NAME]
        assert written.status is RequestStatus.QUARANTINED

    def test_bounded(self) -> None:
        """New suspicions evict transient ones before quarantined ones."""
        for number in range(1000):
            crash = ServerCrash(run=f'r{number}', service='a', alone=False)
            self.daemons.all[0].record_crash(f'{number:032x}', crash)
        exchange = self.daemons.all[0].exchange
        assert len(exchange.take_updates(ALL).records) <= 256
        assert len(exchange.records) == 256
        assert self.daemons.status(0) is RequestStatus.QUARANTINED


class TestTrial:
    """Trials of a quarantined request."""

    def setup_method(self) -> None:
        """Quarantine a request."""
        self.daemons = Daemons(2)
        self.daemons.quarantine_request()

    def test_delay(self) -> None:
        """No trial is due before crashed servers can restart."""
        assert not self.daemons.all[0].is_trial_due(NAME)

    def test_single_trial(self) -> None:
        """A trial claimed by one daemon prevents trials at all daemons."""
        self.daemons.time.advance(31_000)
        assert self.daemons.all[1].is_trial_due(NAME)
        known = self.daemons.all[1].find(NAME)
        assert known is not None
        claimed = known.to_trial_record(NAME)
        self.daemons.stored[NAME] = (claimed, 77)
        for daemon in self.daemons.all:
            daemon.exchange.apply_record(claimed, 77)
            assert not daemon.is_trial_due(NAME)
        self.daemons.time.advance(60 * MINUTE_MS)
        assert not self.daemons.all[0].is_trial_due(NAME)

    def test_response(self) -> None:
        """A response releases the request at all daemons."""
        assert self.daemons.all[0].record_response(NAME, 'a', alone=False)
        self.daemons.synchronise()
        assert self.daemons.status(1) is None


class TestRequeue:
    """Changes that remain pending after a failed publication."""

    def test_crash_after_removal(self) -> None:
        """A newer record replaces the removal that failed."""
        daemons = Daemons(1)
        exchange = daemons.all[0].exchange
        daemons.crash(0, alone=False)
        exchange.take_updates(ALL)
        daemons.all[0].release(NAME)
        removal = exchange.take_updates(ALL)
        daemons.crash(0, alone=False)
        exchange.requeue(removal)
        updates = exchange.take_updates(ALL)
        assert [record.fingerprint for record in updates.records] == [NAME]
        assert not updates.removed


class QuarantineMachine(RuleBasedStateMachine):
    """Arbitrary sequences of events at three daemons and a store."""

    def __init__(self) -> None:
        """Start daemons without any suspicions."""
        super().__init__()
        self.daemons = Daemons(3)
        self.isolated_crashes_ms: list[float] = []
        self.crashes = 0

    @rule(
        daemon=st.integers(0, 2),
        alone=st.booleans(),
        service=st.sampled_from('ab'),
    )
    def crash(self, daemon: int, alone: bool, service: str) -> None:
        """A server crashes during the request."""
        self.daemons.crash(daemon, alone=alone, service=service)
        self.crashes += 1
        if alone:
            self.isolated_crashes_ms.append(self.daemons.time.at_ms)

    @rule(daemon=st.integers(0, 2))
    def respond(self, daemon: int) -> None:
        """Both services respond, and the daemons synchronise."""
        for service in 'ab':
            self.daemons.all[daemon].record_response(NAME, service, alone=False)
        self.daemons.synchronise()

    @rule(by_ms=st.integers(0, 5000))
    def wait(self, by_ms: int) -> None:
        """Time passes."""
        self.daemons.time.advance(by_ms)

    @rule()
    def synchronise(self) -> None:
        """The daemons synchronise through the store."""
        self.daemons.synchronise()

    @rule(daemon=st.integers(0, 2))
    def restart(self, daemon: int) -> None:
        """A daemon restarts without its state."""
        self.daemons.all[daemon] = self.daemons.new_daemon()

    @rule()
    def lose_entries(self) -> None:
        """The store loses all entries."""
        self.daemons.stored.clear()
        for daemon in self.daemons.all:
            daemon.exchange.reconcile((), last_update_age_ms=1000)

    @invariant()
    def quarantines_only_with_evidence(self) -> None:
        """No request is quarantined without two isolated crashes."""
        apart = self.isolated_crashes_ms and (
            self.isolated_crashes_ms[-1] - self.isolated_crashes_ms[0] >= 1000
        )
        has_evidence = apart and self.crashes >= 3
        for daemon in range(3):
            if self.daemons.status(daemon) is RequestStatus.QUARANTINED:
                assert has_evidence

    @invariant()
    def crashes_are_counted_once(self) -> None:
        """No daemon counts more isolated crashes than happened."""
        for daemon in self.daemons.all:
            highest = max(
                (record.isolated_crashes for record in daemon.records),
                default=0,
            )
            assert highest <= len(self.isolated_crashes_ms)


TestQuarantineMachine = QuarantineMachine.TestCase
