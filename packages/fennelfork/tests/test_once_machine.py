"""At-most-once execution under losses, crashes, pauses and duplicates."""

import functools
from collections.abc import Callable

import attrs
import pytest
from core_builders_once import LIFETIME_MS, NAMES, Fleet, execute_request
from core_builders_once_naive import (
    EvictsBeforeExpiry,
    IgnoresBindingFleet,
    RemovesFinished,
    SkipsExpiryAtSend,
    UnreachableIsNotRunFleet,
)
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fennelfork.once import ExecuteRequest

_NAMES = st.sampled_from(NAMES)
_POSITIONS = st.integers(0, 5)
_WAITS_MS = st.sampled_from([20, 80, 400])


def _has_jobs(machine: 'OnceMachine') -> bool:
    return bool(machine.fleet.jobs)


def _has_in_flight(machine: 'OnceMachine') -> bool:
    return bool(machine.fleet.in_flight)


class OnceMachine(RuleBasedStateMachine):
    """Callers, two daemons and a backend server in any order of steps."""

    tickets = Bundle('tickets')
    requests = Bundle('requests')

    def __init__(self, fleet: Callable[[], Fleet] = Fleet) -> None:
        """Start the daemons."""
        super().__init__()
        self.fleet = fleet()
        for name in NAMES:
            self.fleet.start(name)

    @rule(target=tickets, name=_NAMES)
    def issue_ticket(self, name: str) -> str:
        """Issue a ticket to a caller."""
        return self.fleet.ticket(name)

    @rule(
        target=requests,
        ticket=tickets,
        name=st.sampled_from(['a', 'b', 'c', 'd']),
    )
    def create_request(self, ticket: str, name: str) -> ExecuteRequest:
        """Create a request of a caller."""
        return execute_request(ticket, name)

    @rule(target=requests, request=requests, ticket=tickets)
    def rebind(self, request: ExecuteRequest, ticket: str) -> ExecuteRequest:
        """Send the request id under another ticket."""
        return attrs.evolve(request, ticket=ticket)

    @rule(request=requests, name=_NAMES, is_partitioned=st.booleans())
    def ask(
        self, request: ExecuteRequest, name: str, is_partitioned: bool
    ) -> None:
        """Submit a request to a daemon: new, duplicate or delayed."""
        self.fleet.submit(name, request, is_partitioned)

    @rule(request=requests, name=_NAMES)
    def ask_and_run(self, request: ExecuteRequest, name: str) -> None:
        """Submit a request and execute it without faults."""
        self.fleet.submit(name, request, is_partitioned=False)
        if self.fleet.jobs:
            self.fleet.send(-1, 80)
        if self.fleet.in_flight:
            self.fleet.deliver(-1, reply_lost=False)

    @precondition(_has_jobs)
    @rule(position=_POSITIONS, wait_ms=_WAITS_MS)
    def send(self, position: int, wait_ms: int) -> None:
        """Continue a pending request, possibly after a pause."""
        self.fleet.send(position % len(self.fleet.jobs), wait_ms)

    @precondition(_has_jobs)
    @rule()
    def pause_and_send(self) -> None:
        """Pause a daemon with a pending request past the expiry."""
        self.fleet.manual_time.advance(LIFETIME_MS)
        self.fleet.send(0, LIFETIME_MS)

    @precondition(_has_in_flight)
    @rule(position=_POSITIONS, reply_lost=st.booleans())
    def deliver(self, position: int, reply_lost: bool) -> None:
        """Deliver a message to the backend server, possibly after a pause."""
        self.fleet.deliver(position % len(self.fleet.in_flight), reply_lost)

    @precondition(_has_in_flight)
    @rule(position=_POSITIONS)
    def lose_message(self, position: int) -> None:
        """Lose a message in flight."""
        self.fleet.abandon_message(
            self.fleet.in_flight.pop(position % len(self.fleet.in_flight)),
        )

    @rule(name=_NAMES)
    def restart_daemon(self, name: str) -> None:
        """Crash and restart a daemon; its messages stay in flight."""
        self.fleet.start(name)

    @rule(by_ms=st.sampled_from([1, 60, 100, 260]))
    def wait(self, by_ms: int) -> None:
        """Advance the time."""
        self.fleet.manual_time.advance(by_ms)

    @invariant()
    def runs_at_most_once(self) -> None:
        """No request id runs twice."""
        assert max(self.fleet.backend.runs.values(), default=0) <= 1

    @invariant()
    def not_run_verdicts_are_true(self) -> None:
        """No request id with a `NOT_RUN` answer ever runs."""
        assert not self.fleet.not_run_ids & self.fleet.backend.runs.keys()

    @invariant()
    def outcomes_belong_to_executions(self) -> None:
        """Each outcome belongs to a single execution of its request id."""
        for request_id, outcome in self.fleet.outcomes.items():
            assert self.fleet.backend.runs[request_id] == 1
            assert outcome == f'outcome of {request_id}'

    @invariant()
    def nothing_starts_after_expiry(self) -> None:
        """No execution starts after the ticket has expired."""
        for request_id, started_ms in self.fleet.backend.started_ms.items():
            serial = request_id.rpartition('@')[2]
            expires_ms = self.fleet.expires_ms.get(serial, started_ms + 1)
            assert started_ms < expires_ms


class TestOnce(OnceMachine.TestCase):
    """The product keeps the invariants in every order."""

    settings = settings(max_examples=300, stateful_step_count=40)


class TestFaultyVersions:
    """The state machine detects each faulty version."""

    @pytest.mark.parametrize(
        'fleet',
        [
            IgnoresBindingFleet,
            UnreachableIsNotRunFleet,
            lambda: Fleet(table_type=RemovesFinished),
            lambda: Fleet(table_type=EvictsBeforeExpiry),
            lambda: Fleet(table_type=SkipsExpiryAtSend),
        ],
        ids=[
            'any ticket',
            'dead daemon is not run',
            'forgets what is done',
            'evicts when full',
            'no check at the send',
        ],
    )
    def test_fault_is_detected(self, fleet) -> None:
        """A version with one fault violates an invariant."""
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                functools.partial(OnceMachine, fleet),
                settings=settings(
                    max_examples=3000,
                    stateful_step_count=40,
                    phases=[Phase.generate],
                    report_multiple_bugs=False,
                ),
            )
