"""Connections to one backend server when all of them are in use."""

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
from fennelfork_daemon.backend._call import JsonRequest

_REQUEST = JsonRequest(path='/', body=None, timeout_ms=5000)
_RESPONSE_DELAY_S = 0.05
_MAX_ELAPSED_MS = 500


@attrs.define
class _SlowConnection:
    """Answers each call after 50 ms."""

    is_open: bool = True
    keep_alive_ms: float | None = None

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Open at once."""
        return Success(None)

    def carry(self, request: Any) -> Result[str, Failure]:
        """Answer after a while."""
        eventlet.sleep(_RESPONSE_DELAY_S)
        return Success('answered')

    def close(self) -> None:
        """Close at once."""


@pytest.fixture(autouse=True)
def _slow_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have each connection be one to a slow server."""
    monkeypatch.setattr(
        _pool,
        'backend_connection',
        lambda address, max_reply_bytes: _SlowConnection(),
    )


def _one_connection(wait_ms: float) -> _pool.BackendPool:
    when_full = _pool.WhenFull(code=FailureCode.QUEUE_FULL, wait_ms=wait_ms)
    return _pool_of(when_full, limit=1)


def _spawn_requests(pool: _pool.BackendPool, count: int) -> list[Any]:
    return [
        eventlet.spawn(pool.carry, _REQUEST, _pool.Trace())
        for _ in range(count)
    ]


class TestWhenFull:
    """One connection, several calls at once."""

    def test_waits_for_the_others(self) -> None:
        """Each call goes out when the one before is answered."""
        responses = _spawn_requests(_one_connection(2000), 4)
        assert all(is_successful(response.wait()) for response in responses)

    @pytest.mark.parametrize('wait_ms', [0, 5])
    def test_gives_up(self, wait_ms: float) -> None:
        """It fails, surely not run, when none comes free in time."""
        first, second = _spawn_requests(_one_connection(wait_ms), 2)
        assert is_successful(first.wait())
        failure = second.wait().failure()
        assert failure.code is FailureCode.QUEUE_FULL
        assert failure.verdict is Verdict.NOT_RUN

    def test_one_that_ends_takes_no_turn(self) -> None:
        """A call that is ended while it waits does not hold up the next."""
        running, cancelled, waiting = _spawn_requests(_one_connection(2000), 3)
        eventlet.sleep(0.01)
        cancelled.kill()
        started_ms = system_clock().now_ms()
        assert is_successful(running.wait())
        assert is_successful(waiting.wait())
        assert system_clock().now_ms() - started_ms < _MAX_ELAPSED_MS


class TestReset:
    """A new connection is reset, as it is opened or after the call was sent."""

    @pytest.mark.parametrize('verdict', [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
    def test_is_a_failure_like_others(
        self,
        monkeypatch: pytest.MonkeyPatch,
        verdict: Verdict,
    ) -> None:
        """It is paid for and blamed, and a further one is opened at once.

        The home of a shard and the client of the store know of no limit of
        connections that others may fill.
        """
        server = _use_resetting_server(monkeypatch, verdict)
        pool = _pool_of(_pool.WhenFull())
        for _ in range(3):
            failure = pool.carry(_REQUEST, _pool.Trace()).failure()
            assert failure.code is FailureCode.UNREACHABLE
            assert failure.verdict is verdict
        assert server.opened == 3

    @pytest.mark.parametrize('verdict', [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
    def test_is_a_limit_where_that_is_said(
        self,
        monkeypatch: pytest.MonkeyPatch,
        verdict: Verdict,
    ) -> None:
        """Then no further one is opened for a moment."""
        server = _use_resetting_server(monkeypatch, verdict)
        when_full = _pool.WhenFull(
            code=FailureCode.QUEUE_FULL,
            reset_is_full=True,
        )
        pool = _pool_of(when_full)
        failure = pool.carry(_REQUEST, _pool.Trace()).failure()
        assert failure.code is FailureCode.QUEUE_FULL
        assert failure.verdict is verdict
        pool.carry(_REQUEST, _pool.Trace())
        assert server.opened == 1


@attrs.define
class _ResetConnection:
    """Is reset by a server, as it is opened or when it carries a call."""

    verdict: Verdict
    is_open: bool = True
    keep_alive_ms: float | None = None

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Fail if nothing is to be sent."""
        if self.verdict is Verdict.NOT_RUN:
            return Bad(not_run(FailureCode.SHED, 'reset'))
        return Success(None)

    def carry(self, request: Any) -> Result[str, Failure]:
        """Fail after the call was sent."""
        return Bad(may_have_run(FailureCode.SHED, 'reset'))

    def close(self) -> None:
        """Close at once."""


@attrs.define
class _ResettingServer:
    """Resets each connection, and notes how many were opened."""

    verdict: Verdict
    opened: int = 0

    def connect(
        self, address: Address, max_reply_bytes: int
    ) -> _ResetConnection:
        """Give a connection that will be reset."""
        self.opened += 1
        return _ResetConnection(self.verdict)


def _use_resetting_server(
    monkeypatch: pytest.MonkeyPatch,
    verdict: Verdict,
) -> _ResettingServer:
    """Have each connection be one that is reset."""
    server = _ResettingServer(verdict)
    monkeypatch.setattr(_pool, 'backend_connection', server.connect)
    return server


def _pool_of(when_full: _pool.WhenFull, limit: int = 3) -> _pool.BackendPool:
    return _pool.backend_pool(
        Address(host='127.0.0.1', port=1),
        ConnectionLedger(limit=limit),
        system_clock(),
        1000,
        probe=None,
        when_full=when_full,
    )
