"""Attempt to run a non-idempotent request on one backend server.

Each attempt opens a new connection and probes the server on it first, so an
unreachable, unresponsive or full server is detected before any byte of the
request is sent. The request is sent at most once on the connection.
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
from urllib3.exceptions import HTTPError

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork.once import ExecuteCall, classify_execute_response
from fennelfork_daemon._http_connection import (
    CompleteHTTPConnection,
    describe_error,
)
from fennelfork_daemon._json_document import parse_json

_MS: Final = 1000
_HTTP_OK: Final = 200
_DRAINING: Final = 'draining'
_MAX_RESPONSE_BYTES: Final = 65_536
_TRANSPORT_ERRORS: Final = (HTTPError, HTTPException, OSError, eventlet.Timeout)


@attrs.frozen(kw_only=True)
class ExecuteTarget:
    """Address of a backend server that can run a request."""

    name: str
    host: str
    port: int


@attrs.frozen(kw_only=True)
class ExecuteTimeouts:
    """Timeouts of an attempt.

    Attributes:
        probe_ms: timeout for the connection and the probe, in milliseconds.
        settle_ms: additional wait for the response after the deadline of the
            server, in milliseconds, so that a late outcome is recorded.
    """

    probe_ms: float
    settle_ms: float


@attrs.frozen(kw_only=True)
class _StartWindow:
    """Time window in which the server may start the request.

    Attributes:
        remaining_ms: length of the window from the moment when the server reads
            the request, in milliseconds.
        not_after_ms: latest start on the clock of the server, if the server
            reports its clock; also bounds the time that the request waits in
            a socket buffer.
    """

    remaining_ms: float
    not_after_ms: float | None


# Called immediately before the first byte is sent. Returns the time in
# milliseconds in which the server must run the request, or a refusal.
BeginSend = Callable[[], Result[float, Failure]]


def attempt_execute(
    target: ExecuteTarget,
    call: ExecuteCall,
    begin_send: BeginSend,
    timeouts: ExecuteTimeouts,
) -> Result[str, Failure]:
    """Probe a backend server and send the request if the probe succeeds.

    Args:
        target: address of the backend server.
        call: request of the attempt.
        begin_send: final check before the request is sent.
        timeouts: timeouts of the attempt.

    Returns:
        The outcome, or a failure. The verdict is `NOT_RUN` only if no byte of
        the request was sent or the server reports this verdict.
    """
    with contextlib.closing(
        CompleteHTTPConnection(target.host, target.port),
    ) as connection:
        return _attempt(connection, target, call, begin_send, timeouts)


def _attempt(
    connection: CompleteHTTPConnection,
    target: ExecuteTarget,
    call: ExecuteCall,
    begin_send: BeginSend,
    timeouts: ExecuteTimeouts,
) -> Result[str, Failure]:
    probed = _probe(connection, target, timeouts.probe_ms)
    if isinstance(probed, Failed):
        return Failed(probed.failure())
    # Prevents a reconnect, without a probe, if the connection is lost.
    connection.auto_open = 0
    remaining = begin_send()
    if isinstance(remaining, Failed):
        return Failed(remaining.failure())
    window = _compute_start_window(remaining.unwrap(), probed.unwrap())
    return _send(connection, target, call, window, timeouts)


def _compute_start_window(
    remaining_ms: float, server_now_ms: float | None
) -> _StartWindow:
    # The clock reading predates `remaining_ms`, so the computed limit is never too
    # late, even if a process was paused in between.
    not_after_ms = (
        None if server_now_ms is None else server_now_ms + remaining_ms
    )
    return _StartWindow(remaining_ms=remaining_ms, not_after_ms=not_after_ms)


def _probe(
    connection: CompleteHTTPConnection,
    target: ExecuteTarget,
    timeout_ms: float,
) -> Result[float | None, Failure]:
    """Probe the server and return its clock reading, if reported."""
    timeout = eventlet.Timeout(timeout_ms / _MS)
    try:
        return _ask_health(connection)
    except _TRANSPORT_ERRORS as error:
        cause = describe_error(error)
    finally:
        timeout.cancel()
    detail = f'backend server {target.name} failed the probe: {cause}'
    return Failed(not_run(FailureCode.UNREACHABLE, detail))


def _ask_health(
    connection: CompleteHTTPConnection,
) -> Result[float | None, Failure]:
    """Request the health of the server, which fails if it is draining."""
    connection.request('GET', '/v1/health', preload_content=False)
    response = connection.getresponse()
    content = response.read(_MAX_RESPONSE_BYTES)
    usable = response.status == _HTTP_OK and not response.length_remaining
    if not usable or connection.sock is None:
        detail = f'the probe response is unusable: status {response.status}'
        return Failed(not_run(FailureCode.UNREACHABLE, detail))
    return _read_health(content)


def _read_health(content: bytes) -> Result[float | None, Failure]:
    try:
        health = parse_json(content)
    except ValueError:
        health = None
    if not isinstance(health, dict):
        detail = 'the probe response is not a JSON object'
        return Failed(not_run(FailureCode.UNREACHABLE, detail))
    if health.get('state') == _DRAINING:
        return Failed(not_run(FailureCode.DRAINING, 'the server is draining'))
    now_ms = health.get('now_ms')
    return Success(now_ms if isinstance(now_ms, int | float) else None)


def _send(
    connection: CompleteHTTPConnection,
    target: ExecuteTarget,
    call: ExecuteCall,
    window: _StartWindow,
    timeouts: ExecuteTimeouts,
) -> Result[str, Failure]:
    timeout = eventlet.Timeout((window.remaining_ms + timeouts.settle_ms) / _MS)
    try:
        return _exchange(connection, call, window)
    except _TRANSPORT_ERRORS as error:
        cause = describe_error(error)
    finally:
        timeout.cancel()
    detail = f'backend server {target.name} sent no response: {cause}'
    return Failed(may_have_run(FailureCode.UNREACHABLE, detail))


def _exchange(
    connection: CompleteHTTPConnection,
    call: ExecuteCall,
    window: _StartWindow,
) -> Result[str, Failure]:
    body = {**attrs.asdict(call), 'deadline_ms': int(window.remaining_ms)}
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
    content = response.read(_MAX_RESPONSE_BYTES)
    return classify_execute_response(call, response.status, content)
