"""Fake backend server and builders for non-idempotent requests."""

import json
import random
import socket
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import closing, contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final

import attrs
from returns.result import Result, Success

from fennelfork import Failure, system_clock
from fennelfork.once import (
    ExecuteRequest,
    OnceGate,
    OnceLimits,
    bind_request_id,
    once_gate,
    ticket_key,
)
from fennelfork_daemon.execute._connection import (
    ExecuteTarget,
    ExecuteTimeouts,
)

TIMEOUTS: Final = ExecuteTimeouts(probe_ms=1000, settle_ms=3000)


@attrs.define(kw_only=True)
class FakeServer:
    """Injected behaviour of the server and the requests that it ran.

    Attributes:
        runs: number of executions by request id.
        deadlines: deadlines of the executed requests, in milliseconds.
        limits: latest start times of the executed requests.
        refuse: whether requests fail with the verdict `not_run`.
        refuse_as: failure code of refused requests.
        drop_response: whether the connection is closed without a response after
            the execution.
        echo_other_request: whether the response names another request.
        fail_probe: whether the probe fails.
        now_ms: clock reading in the health report, or none.
        close_after_probe: whether the connection is closed after the probe.
        state: state in the health report.
    """

    port: int = 0
    runs: Counter[str] = attrs.field(factory=Counter)
    deadlines: list[int] = attrs.field(factory=list)
    limits: list[float | None] = attrs.field(factory=list)
    refuse: bool = False
    refuse_as: str = 'shed'
    state: str = 'serving'
    drop_response: bool = False
    echo_other_request: bool = False
    fail_probe: bool = False
    now_ms: float | None = None
    close_after_probe: bool = False
    state: str = 'serving'

    @property
    def target(self) -> ExecuteTarget:
        """Address of the server."""
        return ExecuteTarget(name='s', host='127.0.0.1', port=self.port)

    def execute(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return the status and body; status 0 closes the connection."""
        echo = {name: request[name] for name in ('request_id', 'sub_query')}
        if self.refuse:
            return 503, {**echo, 'code': self.refuse_as, 'verdict': 'not_run'}
        self.runs[request['request_id']] += 1
        self.deadlines.append(request['deadline_ms'])
        self.limits.append(request.get('not_after_ms'))
        if self.echo_other_request:
            echo['request_id'] = 'another'
        outcome = {'key': request['key'], 'outcome': 'certificate 5'}
        return (0 if self.drop_response else 200), {**echo, **outcome}


@attrs.define(kw_only=True)
class FixedTargetFinder:
    """Target finder with fixed servers, or an injected error for none."""

    targets: tuple[ExecuteTarget, ...] | None
    invalidations: int = 0
    draining: list[ExecuteTarget] = attrs.field(factory=list)

    def find(
        self,
        request: ExecuteRequest,
        deadline_at_ms: float,
    ) -> Result[tuple[ExecuteTarget, ...], Failure]:
        """Return the fixed servers."""
        if self.targets is None:
            raise RuntimeError('injected error')
        return Success(self.targets)

    def invalidate(self, request: ExecuteRequest) -> None:
        """Count the invalidations."""
        self.invalidations += 1

    def record_draining(self, target: ExecuteTarget) -> None:
        """Record the draining server."""
        self.draining.append(target)


class _FakeServerHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    fake: FakeServer

    def do_GET(self) -> None:
        """Respond to the probe."""
        self.close_connection = self.fake.close_after_probe
        health = {
            'now_ms': self.fake.now_ms,
            'state': self.fake.state,
            'snapshots': [],
        }
        self._answer(503 if self.fake.fail_probe else 200, health)

    def do_POST(self) -> None:
        """Respond to an execute request."""
        length = int(self.headers['Content-Length'])
        status, document = self.fake.execute(
            json.loads(self.rfile.read(length))
        )
        if status:
            self._answer(status, document)
        else:
            self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Suppress log output."""

    def _answer(self, status: int, document: dict[str, Any]) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


@contextmanager
def fake_server() -> Iterator[FakeServer]:
    """Serve requests in threads on a free port."""
    fake = FakeServer()
    calls = type('_BoundCalls', (_FakeServerHandler,), {'fake': fake})
    with ThreadingHTTPServer(('127.0.0.1', 0), calls) as listener:
        fake.port = listener.server_address[1]
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        yield fake
        listener.shutdown()


def free_port() -> int:
    """Return a port without a listener."""
    with closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def build_gate(
    name: str = 'vm-1', limits: OnceLimits | None = None
) -> OnceGate:
    """Build the gate of a new incarnation with the system clock."""
    rng = random.SystemRandom()
    key = ticket_key(name, rng.getrandbits(62), rng.randbytes(32))
    return once_gate(key, system_clock(), rng, limits)


def execute_request(gate: OnceGate, name: str = 'cert-1') -> ExecuteRequest:
    """Build a request with a new ticket of the gate."""
    ticket = gate.issue(60_000)
    assert ticket is not None
    return ExecuteRequest(
        request_id=bind_request_id(name, ticket.text),
        ticket=ticket.text,
        front='raft-search',
        key=7,
        action='issue',
        tenant='salvare',
    )
