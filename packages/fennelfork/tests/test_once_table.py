"""What an incarnation remembers of non-idempotent requests."""

import attrs
import pytest
from core_builders_once import (
    GRACE_MS,
    LIFETIME_MS,
    LIMITS,
    build_gate,
    execute_request,
)
from core_builders_once_naive import StaysOpen
from returns.result import Failure as Failed
from returns.result import Success

from fennelfork import FailureCode, ManualTime, Verdict, not_run
from fennelfork.once import (
    AwaitRunning,
    Ended,
    ExecuteLocally,
    ExecuteRequest,
    ForwardToPeer,
    OnceGate,
    OnceTable,
    ReplayAnswer,
    StartExecution,
)

_REASON = not_run(FailureCode.UNREACHABLE, 'no reply')


def _ticket(gate: OnceGate) -> str:
    issued = gate.issue(LIFETIME_MS)
    assert issued is not None
    return issued.text


def _taken(gate: OnceGate) -> ExecuteRequest:
    request = execute_request(_ticket(gate))
    assert gate.admit(request) == Success(StartExecution())
    return request


def _fill(gate: OnceGate) -> list[str]:
    ticket = _ticket(gate)
    filling = [
        execute_request(ticket, f'fill-{number}')
        for number in range(LIMITS.max_entries)
    ]
    for request in filling:
        gate.admit(request)
    return [request.request_id for request in filling]


class TestRepeat:
    """A request id that comes again."""

    def test_waits_for_the_first(self) -> None:
        """A repeat of a running request is told to wait, sent or not."""
        gate = build_gate(ManualTime())
        request = _taken(gate)
        assert gate.admit(request) == Success(AwaitRunning())
        gate.table.begin_send(request.request_id)
        assert gate.admit(request) == Success(AwaitRunning())

    def test_gets_the_same_outcome(self) -> None:
        """A repeat of a finished request gets its outcome, after expiry too."""
        manual = ManualTime()
        gate = build_gate(manual)
        request = _taken(gate)
        gate.table.begin_send(request.request_id)
        gate.table.record_outcome(request.request_id, 'certificate 5')
        manual.advance(LIFETIME_MS + 1)
        answer = ReplayAnswer(answer=Success('certificate 5'))
        assert gate.admit(request) == Success(answer)

    @pytest.mark.parametrize('sent', [False, True])
    def test_gets_the_same_failure(self, sent: bool) -> None:
        """What was not sent ends as not run; what was sent, in doubt."""
        gate = build_gate(ManualTime())
        request = _taken(gate)
        if sent:
            gate.table.begin_send(request.request_id)
        failure = gate.table.abandon(request.request_id, _REASON)
        verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        assert failure.verdict is verdict
        answer = ReplayAnswer(answer=Failed(failure))
        assert gate.admit(request) == Success(answer)

    def test_for_something_else_is_a_conflict(self) -> None:
        """An id does not stand for two contents."""
        gate = build_gate(ManualTime())
        request = _taken(gate)
        gate.table.begin_send(request.request_id)
        gate.table.record_outcome(request.request_id, 'certificate 5')
        refused = gate.admit(attrs.evolve(request, action='revoke'))
        assert refused.failure().code is FailureCode.CONFLICT
        assert refused.failure().verdict is Verdict.RAN

    def test_is_never_sent_twice(self) -> None:
        """A second send of a request is a defect."""
        gate = build_gate(ManualTime())
        request = _taken(gate)
        gate.table.begin_send(request.request_id)
        with pytest.raises(ValueError, match='sent already'):
            gate.table.begin_send(request.request_id)

    def test_may_be_sent_after_the_server_refused(self) -> None:
        """The server's own word that it did not run lets another try."""
        gate = build_gate(ManualTime())
        request = _taken(gate)
        gate.table.begin_send(request.request_id)
        gate.table.revert_send(request.request_id)
        assert gate.table.begin_send(request.request_id) == Success(LIFETIME_MS)

    @pytest.mark.parametrize('sent', [False, True])
    def test_is_withdrawn_only_unsent(self, sent: bool) -> None:
        """Past its deadline, only what was not sent ends as not run."""
        gate = build_gate(ManualTime())
        request = _taken(gate)
        if sent:
            gate.table.begin_send(request.request_id)
        gate.table.abandon_unsent(request.request_id, _REASON)
        ended = isinstance(gate.table.state(request.request_id), Ended)
        assert ended is not sent
        if ended:
            leave = gate.table.begin_send(request.request_id)
            assert leave.failure().verdict is Verdict.NOT_RUN

    def test_outcome_too_long_is_still_known_to_have_run(self) -> None:
        """A repeat learns that it ran when the outcome could not be kept."""
        gate = build_gate(ManualTime())
        request = _taken(gate)
        gate.table.begin_send(request.request_id)
        gate.table.record_outcome(request.request_id, 'x' * 65)
        state = gate.table.state(request.request_id)
        assert isinstance(state, Ended)
        assert state.failure.verdict is Verdict.RAN


class TestExpiry:
    """The end of a ticket."""

    def test_refuses_at_the_send(self) -> None:
        """A daemon that wakes with an expired ticket does not send."""
        manual = ManualTime()
        gate = build_gate(manual)
        request = _taken(gate)
        manual.advance(LIFETIME_MS)
        leave = gate.table.begin_send(request.request_id)
        assert leave.failure().verdict is Verdict.NOT_RUN

    def test_an_unknown_id_did_not_run_while_ids_are_kept(self) -> None:
        """Within the grace, an unknown id is proof that it never ran."""
        manual = ManualTime()
        gate = build_gate(manual)
        request = execute_request(_ticket(gate))
        manual.advance(LIFETIME_MS + GRACE_MS - 1)
        assert gate.admit(request).failure().verdict is Verdict.NOT_RUN
        manual.advance(1)
        assert gate.admit(request).failure().verdict is Verdict.MAY_HAVE_RUN

    def test_forgets_after_the_grace_and_not_what_runs(self) -> None:
        """Ended ids leave the memory; one that runs stays until it ends."""
        manual = ManualTime()
        gate = build_gate(manual)
        running, ended = _taken(gate), _taken(gate)
        gate.table.begin_send(running.request_id)
        gate.table.abandon(ended.request_id, _REASON)
        manual.advance(LIFETIME_MS + GRACE_MS)
        assert gate.admit(running) == Success(AwaitRunning())
        assert gate.table.size == 1
        gate.table.record_outcome(running.request_id, 'late')
        manual.advance(GRACE_MS)
        assert gate.admit(running).failure().verdict is Verdict.MAY_HAVE_RUN
        assert gate.table.size == 0


class TestFull:
    """More ids than there is room for."""

    @pytest.mark.parametrize(
        ('table_type', 'runs'),
        [(OnceTable, False), (StaysOpen, True)],
    )
    def test_a_refused_id_stays_refused(
        self,
        table_type: type[OnceTable],
        runs: bool,
    ) -> None:
        """A late copy does not run when there is room again."""
        manual = ManualTime()
        gate = build_gate(manual, table_type=table_type)
        for request_id in _fill(gate):
            gate.table.abandon(request_id, _REASON)
        manual.advance(LIFETIME_MS - 1)
        request = execute_request(_ticket(gate))
        refused = gate.admit(request)
        assert refused.failure().code is FailureCode.QUEUE_FULL
        assert refused.failure().verdict is Verdict.NOT_RUN
        manual.advance(GRACE_MS + 1)
        assert isinstance(gate.admit(request), Success) is runs

    def test_known_ids_are_answered_and_new_tickets_taken(self) -> None:
        """Being full ends no ticket of the future and forgets no id."""
        manual = ManualTime()
        gate = build_gate(manual)
        known = _taken(gate)
        _fill(gate)
        assert gate.admit(known) == Success(AwaitRunning())
        gate.table.abandon(known.request_id, _REASON)
        manual.advance(LIFETIME_MS + GRACE_MS)
        request = execute_request(_ticket(gate))
        assert gate.admit(request) == Success(StartExecution())


class TestGate:
    """Where a request is decided."""

    def test_routes_by_the_ticket(self) -> None:
        """Its own tickets stay, those of others go to their incarnation."""
        manual = ManualTime()
        first = build_gate(manual)
        request = execute_request(_ticket(first))
        assert first.route(request) == Success(ExecuteLocally())
        away = ForwardToPeer(daemon='vm-1', incarnation=1)
        assert build_gate(manual, 'vm-2').route(request) == Success(away)

    def test_a_restart_ends_the_tickets(self) -> None:
        """The next incarnation neither runs nor denies what it never saw."""
        manual = ManualTime()
        request = execute_request(_ticket(build_gate(manual)))
        restarted = build_gate(manual, incarnation=2)
        assert restarted.route(request).failure().verdict is (
            Verdict.MAY_HAVE_RUN
        )

    def test_a_leaving_daemon_keeps_its_word(self) -> None:
        """It issues no ticket, and takes requests of those it issued."""
        gate = build_gate(ManualTime())
        ticket = _ticket(gate)
        gate.stop_issuing()
        assert gate.issue(LIFETIME_MS) is None
        assert gate.admit(execute_request(ticket)) == Success(StartExecution())

    def test_an_exiting_daemon_refuses_what_is_new(self) -> None:
        """Before it exits it says not run of new ids, and means it."""
        gate = build_gate(ManualTime())
        known = _taken(gate)
        new = execute_request(_ticket(gate), 'cert-2')
        gate.refuse_new_requests()
        assert gate.admit(new).failure().verdict is Verdict.NOT_RUN
        assert gate.admit(known) == Success(AwaitRunning())
