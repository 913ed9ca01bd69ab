"""One attempt to run a non-idempotent request on one backend server.

The connection is new, and used for a probe before the request: a server that
is gone, frozen or out of connections is found before a byte of the request is
sent. The attempt is never repeated on the same connection.
"""

import contextlib
import json
from collections.abc import Callable
from http.client import HTTPException
from typing import Final

import attrs
import eventlet
from returns.result import Failure as Failed
from returns.result import Result, Success
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork.once import ExecuteCall, classify_execute_response

_MS: Final = 1000
_HTTP_OK: Final = 200
_DRAINING: Final = 'draining'
_MAX_REPLY_BYTES: Final = 65_536
_TRANSPORT_ERRORS: Final = (HTTPError, HTTPException, OSError, eventlet.Timeout)


@attrs.frozen(kw_only=True)
class ExecuteTarget:
    """A backend server that may run the request."""

    name: str
    host: str
    port: int


@attrs.frozen(kw_only=True)
class ExecuteTimeouts:
    """How long an attempt may take.

    Attributes:
        probe_ms: to connect and be answered the probe.
        settle_ms: to wait for the reply beyond the deadline that the server
            was given, so that a late outcome is still learnt.
    """

    probe_ms: float
    settle_ms: float


@attrs.frozen(kw_only=True)
class _StartWindow:
    """When the server may start.

    Attributes:
        left_ms: how long from when it reads the request.
        not_after_ms: until which reading of its own clock, if it tells one;
            this also bounds the time that the request waits unread.
    """

    left_ms: float
    not_after_ms: float | None


# Asked immediately before the first byte is sent; gives the milliseconds
# within which the server must have run the request.
BeginSend = Callable[[], Result[float, Failure]]


def attempt_execute(
    target: ExecuteTarget,
    call: ExecuteCall,
    begin_send: BeginSend,
    timeouts: ExecuteTimeouts,
) -> Result[str, Failure]:
    """Probe a backend server and, if it answers, send it the request.

    Args:
        target: the backend server.
        call: the attempt.
        leave: the last check before the send.
        patience: how long to wait.

    Returns:
        The outcome, or a failure that says `NOT_RUN` only if no byte of the
        request was sent or the server itself says so.
    """
    with contextlib.closing(
        HTTPConnection(target.host, target.port),
    ) as connection:
        return _attempt(connection, target, call, begin_send, timeouts)


def _attempt(
    connection: HTTPConnection,
    target: ExecuteTarget,
    call: ExecuteCall,
    begin_send: BeginSend,
    timeouts: ExecuteTimeouts,
) -> Result[str, Failure]:
    probed = _probe(connection, target, timeouts.probe_ms)
    if isinstance(probed, Failed):
        return Failed(probed.failure())
    # Without this, a connection lost since the probe would be opened anew.
    connection.auto_open = 0
    left = begin_send()
    if isinstance(left, Failed):
        return Failed(left.failure())
    window = _window(left.unwrap(), probed.unwrap())
    return _send(connection, target, call, window, timeouts)


def _window(left_ms: float, server_now_ms: float | None) -> _StartWindow:
    # The server's reading is older than `left_ms`, so this errs on the early
    # side, whatever either process spent paused in between.
    not_after_ms = None if server_now_ms is None else server_now_ms + left_ms
    return _StartWindow(left_ms=left_ms, not_after_ms=not_after_ms)


def _probe(
    connection: HTTPConnection,
    target: ExecuteTarget,
    timeout_ms: float,
) -> Result[float | None, Failure]:
    """Give the reading of the server's clock, none if it tells none."""
    timeout = eventlet.Timeout(timeout_ms / _MS)
    try:
        return _ask_health(connection)
    except _TRANSPORT_ERRORS as error:
        error_name = type(error).__name__
    finally:
        timeout.cancel()
    detail = f'backend server {target.name} failed the probe: {error_name}'
    return Failed(not_run(FailureCode.UNREACHABLE, detail))


def _ask_health(connection: HTTPConnection) -> Result[float | None, Failure]:
    """Ask a server that may be leaving, which must get no new work."""
    connection.request('GET', '/v1/health', preload_content=False)
    response = connection.getresponse()
    content = response.read(_MAX_REPLY_BYTES)
    usable = response.status == _HTTP_OK and not response.length_remaining
    if not usable or connection.sock is None:
        detail = f'the probe was answered with status {response.status}'
        return Failed(not_run(FailureCode.UNREACHABLE, detail))
    return _read_health(content)


def _read_health(content: bytes) -> Result[float | None, Failure]:
    try:
        health = json.loads(content)
    except ValueError:
        health = None
    if not isinstance(health, dict):
        detail = 'the probe was answered with something else'
        return Failed(not_run(FailureCode.UNREACHABLE, detail))
    if health.get('state') == _DRAINING:
        return Failed(not_run(FailureCode.DRAINING, 'the server is draining'))
    now_ms = health.get('now_ms')
    return Success(now_ms if isinstance(now_ms, int | float) else None)


def _send(
    connection: HTTPConnection,
    target: ExecuteTarget,
    call: ExecuteCall,
    window: _StartWindow,
    timeouts: ExecuteTimeouts,
) -> Result[str, Failure]:
    timeout = eventlet.Timeout((window.left_ms + timeouts.settle_ms) / _MS)
    try:
        return _exchange(connection, call, window)
    except _TRANSPORT_ERRORS as error:
        error_name = type(error).__name__
    finally:
        timeout.cancel()
    detail = f'backend server {target.name} gave no reply: {error_name}'
    return Failed(may_have_run(FailureCode.UNREACHABLE, detail))


def _exchange(
    connection: HTTPConnection,
    call: ExecuteCall,
    window: _StartWindow,
) -> Result[str, Failure]:
    body = {**attrs.asdict(call), 'deadline_ms': int(window.left_ms)}
    if window.not_after_ms is not None:
        body['not_after_ms'] = window.not_after_ms
    connection.request(
        'POST',
        '/v1/execute',
        body=json.dumps(body).encode(),
        headers={'Content-Type': 'application/json'},
        preload_content=False,
    )
    response = connection.getresponse()
    content = response.read(_MAX_REPLY_BYTES)
    return classify_execute_response(call, response.status, content)
