"""Request table and gate of an incarnation."""

import attrs
import pytest
from core_builders_once import (
    GRACE_MS,
    LIFETIME_MS,
    LIMITS,
    build_gate,
    execute_request,
)
from core_builders_once_naive import KeepsTicketsOpen
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


def _admitted(gate: OnceGate) -> ExecuteRequest:
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


class TestDuplicate:
    """Duplicates of a request id."""

    def test_waits_for_the_running_request(self) -> None:
        """A duplicate of a running request waits, whether sent or not."""
        gate = build_gate(ManualTime())
        request = _admitted(gate)
        assert gate.admit(request) == Success(AwaitRunning())
        gate.table.begin_send(request.request_id)
        assert gate.admit(request) == Success(AwaitRunning())

    def test_gets_the_same_outcome(self) -> None:
        """A duplicate gets the stored outcome, also after expiry."""
        manual = ManualTime()
        gate = build_gate(manual)
        request = _admitted(gate)
        gate.table.begin_send(request.request_id)
        gate.table.record_outcome(request.request_id, 'certificate 5')
        manual.advance(LIFETIME_MS + 1)
        answer = ReplayAnswer(answer=Success('certificate 5'))
        assert gate.admit(request) == Success(answer)

    @pytest.mark.parametrize('sent', [False, True])
    def test_gets_the_same_failure(self, sent: bool) -> None:
        """An unsent request ends as not run; a sent one may have run."""
        gate = build_gate(ManualTime())
        request = _admitted(gate)
        if sent:
            gate.table.begin_send(request.request_id)
        failure = gate.table.abandon(request.request_id, _REASON)
        verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        assert failure.verdict is verdict
        answer = ReplayAnswer(answer=Failed(failure))
        assert gate.admit(request) == Success(answer)

    def test_other_content_is_a_conflict(self) -> None:
        """An id cannot be reused with other content."""
        gate = build_gate(ManualTime())
        request = _admitted(gate)
        gate.table.begin_send(request.request_id)
        gate.table.record_outcome(request.request_id, 'certificate 5')
        refused = gate.admit(attrs.evolve(request, action='revoke'))
        assert refused.failure().code is FailureCode.CONFLICT
        assert refused.failure().verdict is Verdict.RAN

    def test_is_never_sent_twice(self) -> None:
        """A second send of a request raises an error."""
        gate = build_gate(ManualTime())
        request = _admitted(gate)
        gate.table.begin_send(request.request_id)
        with pytest.raises(ValueError, match='sent already'):
            gate.table.begin_send(request.request_id)

    def test_may_be_sent_after_a_refusal(self) -> None:
        """A request that a server reports as not run may be sent again."""
        gate = build_gate(ManualTime())
        request = _admitted(gate)
        gate.table.begin_send(request.request_id)
        gate.table.revert_send(request.request_id)
        assert gate.table.begin_send(request.request_id) == Success(LIFETIME_MS)

    @pytest.mark.parametrize('sent', [False, True])
    def test_only_unsent_request_is_abandoned(self, sent: bool) -> None:
        """Past its deadline, only an unsent request ends as not run."""
        gate = build_gate(ManualTime())
        request = _admitted(gate)
        if sent:
            gate.table.begin_send(request.request_id)
        gate.table.abandon_unsent(request.request_id, _REASON)
        ended = isinstance(gate.table.state(request.request_id), Ended)
        assert ended is not sent
        if ended:
            permission = gate.table.begin_send(request.request_id)
            assert permission.failure().verdict is Verdict.NOT_RUN

    def test_too_long_outcome_has_verdict_ran(self) -> None:
        """A duplicate learns that the request ran without a kept outcome."""
        gate = build_gate(ManualTime())
        request = _admitted(gate)
        gate.table.begin_send(request.request_id)
        gate.table.record_outcome(request.request_id, 'x' * 65)
        state = gate.table.state(request.request_id)
        assert isinstance(state, Ended)
        assert state.failure.verdict is Verdict.RAN


class TestExpiry:
    """Expiry of a ticket."""

    def test_refuses_to_send(self) -> None:
        """A daemon that resumes with an expired ticket does not send."""
        manual = ManualTime()
        gate = build_gate(manual)
        request = _admitted(gate)
        manual.advance(LIFETIME_MS)
        permission = gate.table.begin_send(request.request_id)
        assert permission.failure().verdict is Verdict.NOT_RUN

    def test_unknown_id_is_not_run_within_the_grace(self) -> None:
        """An unknown id is proof of no execution only within the grace."""
        manual = ManualTime()
        gate = build_gate(manual)
        request = execute_request(_ticket(gate))
        manual.advance(LIFETIME_MS + GRACE_MS - 1)
        assert gate.admit(request).failure().verdict is Verdict.NOT_RUN
        manual.advance(1)
        assert gate.admit(request).failure().verdict is Verdict.MAY_HAVE_RUN

    def test_only_finished_ids_are_removed(self) -> None:
        """A running id stays in the table until it ends."""
        manual = ManualTime()
        gate = build_gate(manual)
        running, ended = _admitted(gate), _admitted(gate)
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
    """A full table."""

    @pytest.mark.parametrize(
        ('table_type', 'runs'),
        [(OnceTable, False), (KeepsTicketsOpen, True)],
    )
    def test_refused_id_stays_refused(
        self,
        table_type: type[OnceTable],
        runs: bool,
    ) -> None:
        """A delayed duplicate does not run after the table has room again."""
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

    def test_known_ids_and_new_tickets_work(self) -> None:
        """A full table removes no id and does not close later tickets."""
        manual = ManualTime()
        gate = build_gate(manual)
        known = _admitted(gate)
        _fill(gate)
        assert gate.admit(known) == Success(AwaitRunning())
        gate.table.abandon(known.request_id, _REASON)
        manual.advance(LIFETIME_MS + GRACE_MS)
        request = execute_request(_ticket(gate))
        assert gate.admit(request) == Success(StartExecution())


class TestGate:
    """Routing of requests."""

    def test_routes_by_the_ticket(self) -> None:
        """A request goes to the incarnation that issued its ticket."""
        manual = ManualTime()
        first = build_gate(manual)
        request = execute_request(_ticket(first))
        assert first.route(request) == Success(ExecuteLocally())
        expected = ForwardToPeer(daemon='vm-1', incarnation=1)
        assert build_gate(manual, 'vm-2').route(request) == Success(expected)

    def test_restart_invalidates_tickets(self) -> None:
        """A request under a ticket of the last incarnation may have run."""
        manual = ManualTime()
        request = execute_request(_ticket(build_gate(manual)))
        restarted = build_gate(manual, incarnation=2)
        assert restarted.route(request).failure().verdict is (
            Verdict.MAY_HAVE_RUN
        )

    def test_draining_daemon_accepts_issued_tickets(self) -> None:
        """A draining daemon issues no ticket and accepts its issued ones."""
        gate = build_gate(ManualTime())
        ticket = _ticket(gate)
        gate.stop_issuing()
        assert gate.issue(LIFETIME_MS) is None
        assert gate.admit(execute_request(ticket)) == Success(StartExecution())

    def test_exiting_daemon_refuses_new_ids(self) -> None:
        """An exiting daemon answers `NOT_RUN` to new ids."""
        gate = build_gate(ManualTime())
        known = _admitted(gate)
        new = execute_request(_ticket(gate), 'cert-2')
        gate.refuse_new_requests()
        assert gate.admit(new).failure().verdict is Verdict.NOT_RUN
        assert gate.admit(known) == Success(AwaitRunning())
