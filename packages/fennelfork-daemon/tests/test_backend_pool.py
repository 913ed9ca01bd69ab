"""Connection pool of a backend server at its limits."""

from typing import Any

import attrs
import eventlet
import pytest
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import (
    Failure,
    FailureCode,
    Verdict,
    may_have_run,
    not_run,
    system_clock,
)
from fennelfork.servers import ConnectionLedger
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend import _pool
from fennelfork_daemon.backend._request import JsonRequest

_REQUEST = JsonRequest(path='/', body=None, timeout_ms=5000)
_RESPONSE_DELAY_S = 0.05
_MAX_ELAPSED_MS = 500


@attrs.define
class _SlowConnection:
    """Connection whose responses arrive after 50 ms."""

    is_open: bool = True
    keep_alive_ms: float | None = None

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Open immediately."""
        return Success(None)

    def exchange(self, request: Any) -> Result[str, Failure]:
        """Respond after a delay."""
        eventlet.sleep(_RESPONSE_DELAY_S)
        return Success('answered')

    def close(self) -> None:
        """Close immediately."""


@pytest.fixture(autouse=True)
def _slow_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace all connections by slow ones."""
    monkeypatch.setattr(
        _pool,
        'backend_connection',
        lambda *_arguments: _SlowConnection(),
    )


def _one_connection(wait_ms: float) -> _pool.BackendPool:
    when_full = _pool.FullPoolPolicy(
        code=FailureCode.QUEUE_FULL, wait_ms=wait_ms
    )
    return _pool_of(when_full, limit=1)


def _spawn_requests(pool: _pool.BackendPool, count: int) -> list[Any]:
    return [
        eventlet.spawn(pool.exchange, _REQUEST, _pool.ConnectionTrace())
        for _ in range(count)
    ]


class TestWhenFull:
    """Concurrent requests on a single connection."""

    def test_waits_for_a_free_connection(self) -> None:
        """Each request is sent after the previous response."""
        responses = _spawn_requests(_one_connection(2000), 4)
        assert all(is_successful(response.wait()) for response in responses)

    @pytest.mark.parametrize('wait_ms', [0, 5])
    def test_fails_after_the_wait(self, wait_ms: float) -> None:
        """A request without a free connection in time fails as `NOT_RUN`."""
        first, second = _spawn_requests(_one_connection(wait_ms), 2)
        assert is_successful(first.wait())
        failure = second.wait().failure()
        assert failure.code is FailureCode.QUEUE_FULL
        assert failure.verdict is Verdict.NOT_RUN

    def test_killed_request_leaves_the_queue(self) -> None:
        """A request that is killed in the queue does not block the next."""
        running, cancelled, waiting = _spawn_requests(_one_connection(2000), 3)
        eventlet.sleep(0.01)
        cancelled.kill()
        started_ms = system_clock().now_ms()
        assert is_successful(running.wait())
        assert is_successful(waiting.wait())
        assert system_clock().now_ms() - started_ms < _MAX_ELAPSED_MS


class TestReset:
    """Resets of a new connection, before or after a request is sent."""

    @pytest.mark.parametrize('verdict', [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
    def test_is_unreachable_by_default(
        self,
        monkeypatch: pytest.MonkeyPatch,
        verdict: Verdict,
    ) -> None:
        """A reset counts as a failure, and the next request reconnects.

        Home daemons and store clients have no shared connection limit.
        """
        server = _use_resetting_server(monkeypatch, verdict)
        pool = _pool_of(_pool.FullPoolPolicy())
        for _ in range(3):
            failure = pool.exchange(_REQUEST, _pool.ConnectionTrace()).failure()
            assert failure.code is FailureCode.UNREACHABLE
            assert failure.verdict is verdict
        assert server.opened == 3

    @pytest.mark.parametrize('verdict', [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
    def test_is_full_if_configured(
        self,
        monkeypatch: pytest.MonkeyPatch,
        verdict: Verdict,
    ) -> None:
        """No further connection is opened immediately after a reset."""
        server = _use_resetting_server(monkeypatch, verdict)
        when_full = _pool.FullPoolPolicy(
            code=FailureCode.QUEUE_FULL,
            treats_reset_as_full=True,
        )
        pool = _pool_of(when_full)
        failure = pool.exchange(_REQUEST, _pool.ConnectionTrace()).failure()
        assert failure.code is FailureCode.QUEUE_FULL
        assert failure.verdict is verdict
        pool.exchange(_REQUEST, _pool.ConnectionTrace())
        assert server.opened == 1

    def test_before_the_request(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A connection that is closed before the request was not used.

        Guards against a refusal that says `MAY_HAVE_RUN` because the request
        is written to a connection that the server has reset already.
        """
        reset = _ResetConnection(Verdict.MAY_HAVE_RUN, is_open=False)
        monkeypatch.setattr(_pool, 'backend_connection', lambda *_: reset)
        trace = _pool.ConnectionTrace()
        when_full = _pool.FullPoolPolicy(
            code=FailureCode.QUEUE_FULL, treats_reset_as_full=True
        )
        failure = _pool_of(when_full).exchange(_REQUEST, trace).failure()
        assert failure.code is FailureCode.QUEUE_FULL
        assert failure.verdict is Verdict.NOT_RUN
        assert not trace.may_be_sent


@attrs.define
class _ResetConnection:
    """Connection that fails with a reset on open or on a request."""

    verdict: Verdict
    is_open: bool = True
    keep_alive_ms: float | None = None

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Fail if the verdict is `NOT_RUN`."""
        if self.verdict is Verdict.NOT_RUN:
            return Bad(not_run(FailureCode.SHED, 'reset'))
        return Success(None)

    def exchange(self, request: Any) -> Result[str, Failure]:
        """Fail after the request was sent."""
        return Bad(may_have_run(FailureCode.SHED, 'reset'))

    def close(self) -> None:
        """Close immediately."""


@attrs.define
class _ResettingServer:
    """Server that resets each connection and counts the connections."""

    verdict: Verdict
    opened: int = 0

    def connect(self, *_arguments: Any) -> _ResetConnection:
        """Return a connection that is reset."""
        self.opened += 1
        return _ResetConnection(self.verdict)


def _use_resetting_server(
    monkeypatch: pytest.MonkeyPatch,
    verdict: Verdict,
) -> _ResettingServer:
    """Replace all connections by ones that are reset."""
    server = _ResettingServer(verdict)
    monkeypatch.setattr(_pool, 'backend_connection', server.connect)
    return server


def _pool_of(
    when_full: _pool.FullPoolPolicy, limit: int = 3
) -> _pool.BackendPool:
    return _pool.backend_pool(
        Address(host='127.0.0.1', port=1),
        ConnectionLedger(limit=limit),
        system_clock(),
        1000,
        probe=None,
        when_full=when_full,
    )
