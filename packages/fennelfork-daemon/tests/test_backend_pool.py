"""Connections to one backend server when all of them are in use."""

from typing import Any

import attrs
import eventlet
import pytest
from returns.pipeline import is_successful
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, Verdict, system_clock
from fennelfork.servers import ConnectionLedger
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend import _pool
from fennelfork_daemon.backend._call import BackendCall

_CALL = BackendCall(path='/', body=None, timeout_ms=5000)
_ANSWER_S = 0.05
_SOON_MS = 500


@attrs.define
class _SlowConnection:
    """Answers each call after 50 ms."""

    alive: bool = True
    keep_ms: float | None = None

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Open at once."""
        return Success(None)

    def carry(self, call: Any) -> Result[str, Failure]:
        """Answer after a while."""
        eventlet.sleep(_ANSWER_S)
        return Success('answered')

    def close(self) -> None:
        """Close at once."""


@pytest.fixture(autouse=True)
def _slow_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have each connection be one to a slow server."""
    monkeypatch.setattr(
        _pool,
        'backend_connection',
        lambda address, most_bytes: _SlowConnection(),
    )


def _one_connection(wait_ms: float) -> _pool.BackendPool:
    return _pool.backend_pool(
        Address(host='127.0.0.1', port=1),
        ConnectionLedger(limit=1),
        system_clock(),
        1000,
        probe=None,
        when_full=_pool.WhenFull(
            code=FailureCode.QUEUE_FULL,
            wait_ms=wait_ms,
        ),
    )


def _calls(pool: _pool.BackendPool, count: int) -> list[Any]:
    return [
        eventlet.spawn(pool.carry, _CALL, _pool.Trace()) for _ in range(count)
    ]


class TestWhenFull:
    """One connection, several calls at once."""

    def test_waits_for_the_others(self) -> None:
        """Each call goes out when the one before is answered."""
        calls = _calls(_one_connection(2000), 4)
        assert all(is_successful(call.wait()) for call in calls)

    @pytest.mark.parametrize('wait_ms', [0, 5])
    def test_gives_up(self, wait_ms: float) -> None:
        """It fails, surely not run, when none comes free in time."""
        first, second = _calls(_one_connection(wait_ms), 2)
        assert is_successful(first.wait())
        failure = second.wait().failure()
        assert failure.code is FailureCode.QUEUE_FULL
        assert failure.verdict is Verdict.NOT_RUN

    def test_one_that_ends_takes_no_turn(self) -> None:
        """A call that is ended while it waits does not hold up the next."""
        running, ended, waiting = _calls(_one_connection(2000), 3)
        eventlet.sleep(0.01)
        ended.kill()
        began_ms = system_clock().now_ms()
        assert is_successful(running.wait())
        assert is_successful(waiting.wait())
        assert system_clock().now_ms() - began_ms < _SOON_MS
