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
from returns.result import Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from fennelfork import (
    ExecuteCall,
    Failure,
    FailureCode,
    judge_execute_reply,
    may_have_run,
    not_run,
)

_MS: Final = 1000
_OK: Final = 200
_REPLY_BYTES: Final = 65_536
_ERRORS: Final = (HTTPError, HTTPException, OSError, eventlet.Timeout)


@attrs.frozen(kw_only=True)
class ExecuteTarget:
    """A backend server that may run the request."""

    name: str
    host: str
    port: int


@attrs.frozen(kw_only=True)
class ExecutePatience:
    """How long an attempt may take.

    Attributes:
        probe_ms: to connect and be answered the probe.
        settle_ms: to wait for the reply beyond the deadline that the server
            was given, so that a late outcome is still learnt.
    """

    probe_ms: float
    settle_ms: float


# Asked immediately before the first byte is sent; gives the milliseconds
# within which the server must have run the request.
Leave = Callable[[], Result[float, Failure]]


def attempt_execute(
    target: ExecuteTarget,
    call: ExecuteCall,
    leave: Leave,
    patience: ExecutePatience,
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
        return _attempt(connection, target, call, leave, patience)


def _attempt(
    connection: HTTPConnection,
    target: ExecuteTarget,
    call: ExecuteCall,
    leave: Leave,
    patience: ExecutePatience,
) -> Result[str, Failure]:
    fault = _probe(connection, patience.probe_ms)
    if fault is not None:
        detail = f'backend server {target.name} failed the probe: {fault}'
        return Failed(not_run(FailureCode.UNREACHABLE, detail))
    # Without this, a connection lost since the probe would be opened anew.
    connection.auto_open = 0
    return leave().bind(
        lambda left_ms: _send(connection, target, call, left_ms, patience),
    )


def _probe(connection: HTTPConnection, within_ms: float) -> str | None:
    """Give what is wrong with the server, or none."""
    timeout = eventlet.Timeout(within_ms / _MS)
    try:
        return _ask_health(connection)
    except _ERRORS as error:
        return type(error).__name__
    finally:
        timeout.cancel()


def _ask_health(connection: HTTPConnection) -> str | None:
    connection.request('GET', '/v1/health', preload_content=False)
    response = connection.getresponse()
    response.read(_REPLY_BYTES)
    if response.length_remaining:
        return 'the answer is too long'
    if connection.sock is None:
        return 'the connection was closed'
    return None if response.status == _OK else f'status {response.status}'


def _send(
    connection: HTTPConnection,
    target: ExecuteTarget,
    call: ExecuteCall,
    left_ms: float,
    patience: ExecutePatience,
) -> Result[str, Failure]:
    timeout = eventlet.Timeout((left_ms + patience.settle_ms) / _MS)
    try:
        return _exchange(connection, call, left_ms)
    except _ERRORS as error:
        fault = type(error).__name__
    finally:
        timeout.cancel()
    detail = f'backend server {target.name} gave no reply: {fault}'
    return Failed(may_have_run(FailureCode.UNREACHABLE, detail))


def _exchange(
    connection: HTTPConnection,
    call: ExecuteCall,
    left_ms: float,
) -> Result[str, Failure]:
    body = {**attrs.asdict(call), 'deadline_ms': int(left_ms)}
    connection.request(
        'POST',
        '/v1/execute',
        body=json.dumps(body).encode(),
        headers={'Content-Type': 'application/json'},
        preload_content=False,
    )
    response = connection.getresponse()
    content = response.read(_REPLY_BYTES)
    return judge_execute_reply(call, response.status, content)
