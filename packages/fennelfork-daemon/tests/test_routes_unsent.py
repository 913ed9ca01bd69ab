"""Requests that end while their attempts wait for a connection.

Guards against a refusal as not run whose request runs later, and against
answers 502 or 504 to requests that reached no backend server.
"""

import random
from collections.abc import Callable
from typing import Any
from unittest import mock

import attrs
import eventlet
import pytest
from daemon_builders_routes import caller_request, route, server, settings
from eventlet.queue import LightQueue
from returns.result import Result, Success

from fennelfork import Failure, Verdict, system_clock
from fennelfork.routes import (
    DispatchParts,
    Distances,
    RequestTimes,
    RetryBudgets,
    RetryPolicy,
    Selector,
    SingleService,
    dispatch,
    latency_baseline,
    retry_budgets,
)
from fennelfork_daemon.backend import _pool
from fennelfork_daemon.routes import Forwarded, Refused
from fennelfork_daemon.routes._attempt_runner import AttemptParts, AttemptRunner
from fennelfork_daemon.routes._blackboard import route_blackboard
from fennelfork_daemon.routes._outcome_recorder import OutcomeRecorder
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._request import RunningRequest

_LEFT_MS = 60
_LONG_S = 0.2
_SHORT_WINDOW_MS = 250


@attrs.define(kw_only=True)
class _Server:
    """Backend server whose connections open, or respond, late."""

    open_s: float = 0
    respond_s: float = 0
    received: int = 0
    closed: int = 0
    is_open: bool = True
    keep_alive_ms: float | None = None
    before_write: Callable[[], None] = lambda: None

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Open after a delay."""
        eventlet.sleep(self.open_s)
        return Success(None)

    def closes_within(self, timeout_ms: float) -> bool:
        """Stay open for the time in which a full server resets."""
        eventlet.sleep(timeout_ms / 1000)
        self.before_write()
        return False

    def exchange(self, request: Any) -> Result[Any, Failure]:
        """Respond after a delay."""
        self.received += 1
        eventlet.sleep(self.respond_s)
        return Success(mock.Mock(status=200))

    def close(self) -> None:
        """Count the closed connections."""
        self.closed += 1


def _running_request(
    *,
    idempotent: bool,
    left_ms: float = _LEFT_MS,
    ports: tuple[int, ...] = (1,),
    budgets: RetryBudgets | None = None,
) -> tuple[RunningRequest, Selector]:
    clock = system_clock()
    blackboard = route_blackboard(settings(), clock)
    for port in ports:
        blackboard.directory.put(
            server(f'i-{port}', address=f'127.0.0.1:{port}')
        )
    selector = Selector(
        directory=blackboard.directory,
        states=blackboard.states,
        distances=Distances(data_centre='here', region_of={'here': 'east'}),
        shares=blackboard.shares,
        cold_limits=blackboard.cold_limits,
        clock=clock,
        rng=random.Random(1),
    )
    parts = DispatchParts(
        selector=selector,
        retry_budgets=budgets
        or retry_budgets(
            settings().repeats, clock, blackboard.fleet_shares.retries
        ),
        home_regions_of=blackboard.home_regions_of,
    )
    wanted = route('/', SingleService(service='archive'), idempotent=idempotent)
    dispatched = dispatch(
        wanted,
        ('archive',),
        parts,
        latency_baseline(300),
        RequestTimes(received_ms=clock.now_ms(), timeout_ms=left_ms),
    )
    codec = mock.Mock()
    codec.read_response = Success
    codec.write_request.return_value = _pool.JsonRequest(
        path='/', body=None, timeout_ms=1000
    )
    queue = LightQueue()
    runner = AttemptRunner(
        parts=AttemptParts(
            clock=clock,
            pools=ServerPools(clock=clock, shares=blackboard.shares),
            selector=selector,
            codec=codec,
            reporter=mock.Mock(),
            guard=mock.Mock(),
        ),
        caller_request=caller_request(),
        recorder=OutcomeRecorder(
            clock=clock,
            selector=selector,
            reporter=mock.Mock(),
            latency_baseline=dispatched.latency_baseline,
            retry_budgets=parts.retry_budgets,
        ),
        deadline_ms=dispatched.deadline_ms,
        requires_new_connection=not idempotent,
        write_gate=dispatched.write_gate,
        on_result=lambda attempt, outcome: queue.put((attempt, outcome)),
    )
    running = RunningRequest(
        dispatch=dispatched,
        version=1,
        caller_request=caller_request(),
        clock=clock,
        attempts=runner,
        queue=queue,
    )
    return running, selector


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    ('slow', 'verdict', 'received'),
    [
        (_Server(open_s=_LONG_S), Verdict.NOT_RUN, 0),
        (_Server(respond_s=_LONG_S), Verdict.MAY_HAVE_RUN, 1),
    ],
)
def test_deadline(
    monkeypatch: pytest.MonkeyPatch,
    slow: _Server,
    verdict: Verdict,
    received: int,
    idempotent: bool,
) -> None:
    """Only a request without a connection has not run, and never runs."""
    slow = attrs.evolve(slow)
    monkeypatch.setattr(_pool, 'backend_connection', lambda *_: slow)
    running, selector = _running_request(idempotent=idempotent)
    answer = running.run()
    assert isinstance(answer, Refused)
    assert answer.failure.verdict is verdict
    assert (answer.failure.retry_after_ms is None) is bool(received)
    eventlet.sleep(2 * _LONG_S)
    assert slow.received == received
    assert slow.closed == 1 - received
    state = selector.states.for_incarnation(server('i-1').incarnation)
    assert not state.outstanding


class TestCallerLeaves:
    """A caller that leaves while its request waits for a connection."""

    def test_nothing_is_written(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A late event loop learns of both in one turn, of the caller first."""
        backend = _Server(open_s=_LONG_S / 4)
        monkeypatch.setattr(_pool, 'backend_connection', lambda *_: backend)
        running, _ = _running_request(idempotent=True, left_ms=1000)
        backend.before_write = running.record_disconnect
        running.run()
        eventlet.sleep(_LONG_S)
        assert not backend.received


class TestServerLeaves:
    """A server whose entry is removed while a request waits for its connection.

    Guards against attempts that end without an outcome: nothing is sent again,
    and the caller waits until its deadline.
    """

    def test_caller_is_answered(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The server still serves, as those do that are being stopped."""
        leaving = _Server(open_s=_LONG_S / 2)
        monkeypatch.setattr(_pool, 'backend_connection', lambda *_: leaving)
        running, selector = _running_request(idempotent=False, left_ms=1000)
        eventlet.spawn_after(_LONG_S / 4, selector.states.retain, set())
        assert isinstance(running.run(), Forwarded)


class TestLateFirstAttempt:
    """A first attempt that is held back until after its hedge is answered.

    The rule counts arrivals beyond the first of each request, so the first
    attempt is the extra arrival then.
    """

    def test_counts_while_it_may_arrive(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The request has paid for one extra arrival, which is yet to come."""
        pending = [_Server(respond_s=2), _Server()]
        monkeypatch.setattr(
            _pool, 'backend_connection', lambda *_: pending.pop(0)
        )
        share = mock.Mock(nominal_share=0, is_usable=False)
        budgets = retry_budgets(
            RetryPolicy(ratio=1, fixed=0, window_ms=_SHORT_WINDOW_MS),
            system_clock(),
            share,
        )
        running, selector = _running_request(
            idempotent=True, left_ms=1000, ports=(1, 2), budgets=budgets
        )
        assert isinstance(running.run(), Forwarded)
        eventlet.sleep(1.2 * _SHORT_WINDOW_MS / 1000)
        states = [
            selector.states.for_incarnation(server(instance).incarnation)
            for instance in ('i-1', 'i-2')
        ]
        assert sum(state.outstanding for state in states) == 1
        budgets.record_request('archive')
        assert not budgets.try_spend('archive')
