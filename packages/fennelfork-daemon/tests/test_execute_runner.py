"""Execution of admitted non-idempotent requests."""

import json
from collections.abc import Iterator

import attrs
import eventlet
import pytest
from daemon_builders_once import (
    TIMEOUTS,
    FakeServer,
    FixedTargetFinder,
    build_gate,
    execute_request,
    fake_server,
    free_port,
)
from daemon_builders_prepared import prepared_server
from daemon_builders_response_forms import MALFORMED, VALID, with_content
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, Verdict, not_run, system_clock
from fennelfork.once import Done, Ended, ExecuteCall, OnceGate
from fennelfork_daemon.execute._connection import (
    ExecuteTarget,
    attempt_execute,
)
from fennelfork_daemon.execute._runner import ExecuteRunner

_CALL = ExecuteCall(request_id='a@s', sub_query='x0', key=7, action='issue')
_TIMEOUT_MS = 20_000


@pytest.fixture
def server() -> Iterator[FakeServer]:
    """Run a fake backend server on the loopback interface."""
    with fake_server() as running:
        yield running


def _unreachable_target() -> ExecuteTarget:
    return ExecuteTarget(name='gone', host='127.0.0.1', port=free_port())


def _unexpected_send() -> Result[float, Failure]:
    raise AssertionError('the send was begun unexpectedly')


def _runner(gate: OnceGate, *targets: ExecuteTarget, limit: int = 8):
    return ExecuteRunner(
        table=gate.table,
        clock=system_clock(),
        target_finder=FixedTargetFinder(targets=targets),
        timeouts=TIMEOUTS,
        limit=limit,
    )


def _run(
    gate: OnceGate, *targets: ExecuteTarget, remaining_ms: float = _TIMEOUT_MS
):
    request = execute_request(gate)
    gate.admit(request)
    runner = _runner(gate, *targets)
    runner.start(request, system_clock().now_ms() + remaining_ms)
    assert runner.wait(request.request_id, _TIMEOUT_MS)
    return gate.table.state(request.request_id)


class TestAttempt:
    """Single attempts on a backend server."""

    def test_returns_the_outcome(self, server: FakeServer) -> None:
        """The server receives the deadline and its outcome is returned."""
        outcome = attempt_execute(
            server.target,
            _CALL,
            lambda: Success(250.5),
            TIMEOUTS,
        )
        assert outcome == Success('certificate 5')
        assert server.deadlines == [250]

    @pytest.mark.parametrize(('now_ms', 'limit'), [(None, None), (70, 320.5)])
    def test_bounds_the_start_by_the_server_clock(
        self,
        server: FakeServer,
        now_ms: float | None,
        limit: float | None,
    ) -> None:
        """A server that reports its clock receives its latest start time."""
        server.now_ms = now_ms
        attempt_execute(
            server.target,
            _CALL,
            lambda: Success(250.5),
            TIMEOUTS,
        )
        assert server.limits == [limit]

    def test_sends_nothing_after_a_refused_check(
        self, server: FakeServer
    ) -> None:
        """A refusal of the final check prevents the send."""
        refusal = Failed(not_run(FailureCode.TICKET, 'expired'))
        result = attempt_execute(
            server.target,
            _CALL,
            lambda: refusal,
            TIMEOUTS,
        )
        assert result == refusal
        assert not server.runs

    @pytest.mark.parametrize('form', sorted(MALFORMED))
    def test_malformed_probe_sends_nothing(self, form: str) -> None:
        """Guards against a probe that succeeds with a malformed response."""
        healthy = with_content(MALFORMED[form], b'200', b'{"state": "ready"}')
        with prepared_server(healthy) as malformed:
            target = ExecuteTarget(
                name='malformed', host='127.0.0.1', port=malformed.address.port
            )
            failure = attempt_execute(
                target, _CALL, _unexpected_send, TIMEOUTS
            ).failure()
        assert failure.verdict is Verdict.NOT_RUN
        assert 'MalformedMessage' in failure.detail

    @pytest.mark.parametrize('form', sorted(MALFORMED))
    def test_malformed_outcome_may_have_run(self, form: str) -> None:
        """Guards against an outcome from a malformed response."""
        outcome = json.dumps(
            {**attrs.asdict(_CALL), 'outcome': 'certificate 5'}
        ).encode()
        healthy = with_content(VALID['length'], b'200', b'{"state": "ready"}')
        with prepared_server(healthy) as prepared:
            prepared.responses['execute'] = with_content(
                MALFORMED[form], b'200', outcome
            )
            target = ExecuteTarget(
                name='prepared', host='127.0.0.1', port=prepared.address.port
            )
            failure = attempt_execute(
                target, _CALL, lambda: Success(_TIMEOUT_MS), TIMEOUTS
            ).failure()
        assert prepared.requests == ['health', 'execute']
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert 'MalformedMessage' in failure.detail

    @pytest.mark.parametrize('fault', ['drop_response', 'echo_other_request'])
    def test_lost_or_mismatched_reply_may_have_run(
        self,
        server: FakeServer,
        fault: str,
    ) -> None:
        """Only a response to this attempt proves the result of a send."""
        setattr(server, fault, True)
        result = attempt_execute(
            server.target,
            _CALL,
            lambda: Success(5000),
            TIMEOUTS,
        )
        assert result.failure().verdict is Verdict.MAY_HAVE_RUN
        assert server.runs == {'a@s': 1}

    def test_does_not_reconnect_after_the_probe(
        self,
        server: FakeServer,
    ) -> None:
        """A connection lost after the probe is not reopened without one."""
        server.close_after_probe = True
        result = attempt_execute(
            server.target,
            _CALL,
            lambda: Success(5000),
            TIMEOUTS,
        )
        assert isinstance(result, Failed)
        assert not server.runs

    def test_sends_nothing_after_a_failed_probe(
        self, server: FakeServer
    ) -> None:
        """A server that fails the probe receives no request."""
        server.fail_probe = True
        result = attempt_execute(
            server.target, _CALL, _unexpected_send, TIMEOUTS
        )
        assert result.failure().verdict is Verdict.NOT_RUN

    def test_sends_nothing_to_a_draining_server(
        self,
        server: FakeServer,
    ) -> None:
        """A draining server receives no new work."""
        server.state = 'draining'
        result = attempt_execute(
            server.target, _CALL, _unexpected_send, TIMEOUTS
        )
        assert result.failure().code is FailureCode.DRAINING
        assert result.failure().verdict is Verdict.NOT_RUN


class TestDrainingServer:
    """Handling of draining servers."""

    def test_receives_no_request(self, server: FakeServer) -> None:
        """Nothing is sent if the health report says `draining`."""
        server.state = 'draining'
        result = attempt_execute(
            server.target, _CALL, _unexpected_send, TIMEOUTS
        )
        assert result.failure().code is FailureCode.DRAINING
        assert result.failure().verdict is Verdict.NOT_RUN

    def test_is_recorded(self, server: FakeServer) -> None:
        """A server that refuses a request as draining is recorded."""
        server.refuse = True
        server.refuse_as = 'draining'
        gate = build_gate()
        request = execute_request(gate)
        gate.admit(request)
        runner = _runner(gate, server.target)
        runner.start(request, system_clock().now_ms() + _TIMEOUT_MS)
        assert runner.wait(request.request_id, _TIMEOUT_MS)
        assert runner._target_finder.draining == [server.target]


class TestRunner:
    """Requests from admission to their end."""

    def test_tries_the_next_server_after_not_run(
        self,
        server: FakeServer,
    ) -> None:
        """An unreachable server is skipped and the request runs once."""
        gate = build_gate()
        state = _run(gate, _unreachable_target(), server.target)
        assert state == Done(outcome='certificate 5')
        assert list(server.runs.values()) == [1]

    def test_never_retries_after_a_lost_reply(self, server: FakeServer) -> None:
        """A request that may have run is not sent to another server."""
        server.drop_response = True
        state = _run(build_gate(), server.target, server.target)
        assert isinstance(state, Ended)
        assert state.failure.verdict is Verdict.MAY_HAVE_RUN
        assert list(server.runs.values()) == [1]

    def test_ends_as_not_run_when_all_refuse(self, server: FakeServer) -> None:
        """Refusals by all servers end the request as `NOT_RUN`."""
        server.refuse = True
        state = _run(build_gate(), server.target, _unreachable_target())
        assert isinstance(state, Ended)
        assert state.failure.verdict is Verdict.NOT_RUN
        assert not server.runs

    def test_sends_nothing_after_the_deadline(self, server: FakeServer) -> None:
        """A request is not sent after its deadline."""
        state = _run(build_gate(), server.target, remaining_ms=1)
        assert isinstance(state, Ended)
        assert state.failure.code is FailureCode.DEADLINE
        assert state.failure.verdict is Verdict.NOT_RUN
        assert not server.runs

    def test_refuses_above_its_limit(self, server: FakeServer) -> None:
        """A request above the limit ends as `NOT_RUN`."""
        gate = build_gate()
        request = execute_request(gate)
        gate.admit(request)
        _runner(gate, server.target, limit=0).start(request, _TIMEOUT_MS)
        state = gate.table.state(request.request_id)
        assert isinstance(state, Ended)
        assert state.failure.code is FailureCode.QUEUE_FULL
        assert state.failure.verdict is Verdict.NOT_RUN

    def test_exception_ends_the_request(self) -> None:
        """An unexpected exception leaves no request open."""
        gate = build_gate()
        request = execute_request(gate)
        gate.admit(request)
        runner = ExecuteRunner(
            table=gate.table,
            clock=system_clock(),
            target_finder=FixedTargetFinder(targets=None),
            timeouts=TIMEOUTS,
            limit=1,
        )
        runner.start(request, _TIMEOUT_MS)
        eventlet.sleep(0)
        assert runner.running == 0
        state = gate.table.state(request.request_id)
        assert isinstance(state, Ended)
        assert state.failure.verdict is Verdict.NOT_RUN
