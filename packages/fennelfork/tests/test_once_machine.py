"""At most once, under every order of losses, kills, pauses and repeats."""

import functools
from collections.abc import Callable

import attrs
import pytest
from core_builders_once import LIFETIME_MS, NAMES, Fleet, execute_request
from core_builders_once_naive import (
    DeadIsNotRunFleet,
    EvictsOldest,
    ForgetsDone,
    SendsLate,
    UnboundFleet,
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


def _has_wire(machine: 'OnceMachine') -> bool:
    return bool(machine.fleet.wire)


class OnceMachine(RuleBasedStateMachine):
    """Callers, two daemons and a backend server, in any order of steps."""

    tickets = Bundle('tickets')
    requests = Bundle('requests')

    def __init__(self, fleet: Callable[[], Fleet] = Fleet) -> None:
        """Start the daemons."""
        super().__init__()
        self.fleet = fleet()
        for name in NAMES:
            self.fleet.start(name)

    @rule(target=tickets, name=_NAMES)
    def take_ticket(self, name: str) -> str:
        """A caller takes a ticket."""
        return self.fleet.ticket(name)

    @rule(
        target=requests,
        ticket=tickets,
        name=st.sampled_from(['a', 'b', 'c', 'd']),
    )
    def write(self, ticket: str, name: str) -> ExecuteRequest:
        """A caller writes a request of its own."""
        return execute_request(ticket, name)

    @rule(target=requests, request=requests, ticket=tickets)
    def renew(self, request: ExecuteRequest, ticket: str) -> ExecuteRequest:
        """A caller asks again, under another ticket."""
        return attrs.evolve(request, ticket=ticket)

    @rule(request=requests, name=_NAMES, cut=st.booleans())
    def ask(self, request: ExecuteRequest, name: str, cut: bool) -> None:
        """A copy of a request reaches a daemon: first, repeated or late."""
        self.fleet.ask(name, request, cut)

    @rule(request=requests, name=_NAMES)
    def ask_and_run(self, request: ExecuteRequest, name: str) -> None:
        """A copy of a request reaches a daemon, and all goes well."""
        self.fleet.ask(name, request, cut=False)
        if self.fleet.jobs:
            self.fleet.send(-1, 80)
        if self.fleet.wire:
            self.fleet.deliver(-1, reply_lost=False)

    @precondition(_has_jobs)
    @rule(position=_POSITIONS, wait_ms=_WAITS_MS)
    def send(self, position: int, wait_ms: int) -> None:
        """A daemon, perhaps just woken, goes on with a request."""
        self.fleet.send(position % len(self.fleet.jobs), wait_ms)

    @precondition(_has_jobs)
    @rule()
    def pause_and_send(self) -> None:
        """A daemon is paused past the expiry with a request half-way."""
        self.fleet.manual.advance(LIFETIME_MS)
        self.fleet.send(0, LIFETIME_MS)

    @precondition(_has_wire)
    @rule(position=_POSITIONS, reply_lost=st.booleans())
    def deliver(self, position: int, reply_lost: bool) -> None:
        """A backend server, perhaps just woken, reads a request."""
        self.fleet.deliver(position % len(self.fleet.wire), reply_lost)

    @precondition(_has_wire)
    @rule(position=_POSITIONS)
    def drop(self, position: int) -> None:
        """A request is lost on its way."""
        self.fleet.lose(
            self.fleet.wire.pop(position % len(self.fleet.wire)),
        )

    @rule(name=_NAMES)
    def kill(self, name: str) -> None:
        """A daemon is killed and started again; what it sent is out."""
        self.fleet.start(name)

    @rule(by_ms=st.sampled_from([1, 60, 100, 260]))
    def wait(self, by_ms: int) -> None:
        """Time passes, also for who is paused."""
        self.fleet.manual.advance(by_ms)

    @invariant()
    def runs_at_most_once(self) -> None:
        """No request id ran twice."""
        assert max(self.fleet.backend.runs.values(), default=0) <= 1

    @invariant()
    def refusals_are_true(self) -> None:
        """No request id of which a caller was told NOT_RUN ever runs."""
        assert not self.fleet.refused & self.fleet.backend.runs.keys()

    @invariant()
    def outcomes_are_of_runs(self) -> None:
        """An outcome was told only of what ran, and is that of its run."""
        for request_id, outcome in self.fleet.outcomes.items():
            assert self.fleet.backend.runs[request_id] == 1
            assert outcome == f'outcome of {request_id}'

    @invariant()
    def nothing_starts_after_expiry(self) -> None:
        """Nothing starts once its ticket has expired."""
        for request_id, started_ms in self.fleet.backend.started_ms.items():
            serial = request_id.rpartition('@')[2]
            expires_ms = self.fleet.expires_ms.get(serial, started_ms + 1)
            assert started_ms < expires_ms


class TestOnce(OnceMachine.TestCase):
    """The decisions of the product keep the promise in every order."""

    settings = settings(max_examples=300, stateful_step_count=40)


class TestNaive:
    """The machine finds the fault of each naive version."""

    @pytest.mark.parametrize(
        'fleet',
        [
            UnboundFleet,
            DeadIsNotRunFleet,
            lambda: Fleet(table_type=ForgetsDone),
            lambda: Fleet(table_type=EvictsOldest),
            lambda: Fleet(table_type=SendsLate),
        ],
        ids=[
            'any ticket',
            'dead daemon is not run',
            'forgets what is done',
            'evicts when full',
            'no check at the send',
        ],
    )
    def test_is_found(self, fleet) -> None:
        """A version with one fault breaks one of the invariants."""
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
