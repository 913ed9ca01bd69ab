"""Time that a backend server gets for a request that waited for a connection.

Guards against servers that are handed more time than the caller has left.
"""

from typing import Any

import attrs
import eventlet
import pytest
from platform_builders import environ
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, system_clock
from fennelfork.routes import BackendServer
from fennelfork.servers import ConnectionLedger
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend import _pool
from fennelfork_daemon.backend._response_memory import response_memory
from fennelfork_platform._backends import PlatformBackends
from fennelfork_platform._callers import PlatformCallers

_OPEN_S = 0.1
_RESPOND_S = 0.05
_DEADLINE_MS = 2000.0
_MEMORY_BYTES = 1000
_ATTEMPTS = 3
_SERVER = BackendServer(
    instance='i-7',
    service='archive',
    address='127.0.0.1:1',
    data_centre='here',
    slots=1,
)


@attrs.frozen(kw_only=True)
class _Sent:
    """Time that a server is told, and the time of the write."""

    written_ms: float
    left_ms: float

    @property
    def ends_ms(self) -> float:
        """Time until which the server may work."""
        return self.written_ms + self.left_ms


@attrs.define(kw_only=True)
class _SlowConnection:
    """Connection that opens and responds late, and keeps what it was sent."""

    sent: list[_Sent]
    is_open: bool = True
    keep_alive_ms: float | None = None

    def open(self, timeout_ms: float) -> Result[None, Failure]:
        """Open after a delay."""
        eventlet.sleep(_OPEN_S)
        return Success(None)

    def exchange(self, request: Any) -> Result[str, Failure]:
        """Keep the headers with the time of the write, and respond late."""
        written_ms = system_clock().now_ms()
        headers = dict(request.headers + request.timed_headers())
        self.sent.append(
            _Sent(
                written_ms=written_ms,
                left_ms=float(headers['X-Deadline-Ms']),
            )
        )
        eventlet.sleep(_RESPOND_S)
        return Success('answered')

    def close(self) -> None:
        """Close at once."""


def _pool_with_one_connection() -> _pool.BackendPool:
    return _pool.BackendPool(
        address=Address(host='127.0.0.1', port=1),
        ledger=ConnectionLedger(limit=1),
        clock=system_clock(),
        max_response_bytes=_MEMORY_BYTES,
        memory=response_memory(_MEMORY_BYTES),
        probe=None,
        when_full=_pool.FullPoolPolicy(
            code=FailureCode.QUEUE_FULL, wait_ms=_DEADLINE_MS
        ),
    )


@attrs.define(kw_only=True)
class _Caller:
    """Caller whose attempts share one connection."""

    ends_ms: float
    pool: _pool.BackendPool

    def left_ms(self) -> float:
        """Return the time until the deadline."""
        return self.ends_ms - system_clock().now_ms()

    def attempt(self) -> None:
        """Send one attempt."""
        asked = PlatformCallers().read_request(environ(), None).unwrap()
        call = PlatformBackends().write_request(asked, _SERVER, self.left_ms)
        self.pool.exchange(call, _pool.ConnectionTrace())


def test_waits_are_not_handed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """The deadline is that of the write, however long a connection took."""
    sent: list[_Sent] = []
    monkeypatch.setattr(
        _pool, 'backend_connection', lambda *_: _SlowConnection(sent=sent)
    )
    caller = _Caller(
        ends_ms=system_clock().now_ms() + _DEADLINE_MS,
        pool=_pool_with_one_connection(),
    )
    attempts = [eventlet.spawn(caller.attempt) for _ in range(_ATTEMPTS)]
    for thread in attempts:
        thread.wait()
    late_ms = [one.ends_ms - caller.ends_ms for one in sent]
    assert len(late_ms) == _ATTEMPTS
    assert max(late_ms) <= 0
