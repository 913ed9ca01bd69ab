"""A backend server that runs executes as a test tells it to."""

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
    """What the server does, and what it ran.

    Attributes:
        refuse: answer that nothing ran, with the code `refuse_as`.
        state: what its health says.
        lose: run, then close the connection without an answer.
        cross: answer about another request.
        sick: fail the probe.
        now_ms: reading of its clock, which it tells if not none.
        hang_up: close the connection after the probe.
        state: what the probe is told of it.
    """

    port: int = 0
    runs: Counter[str] = attrs.field(factory=Counter)
    deadlines: list[int] = attrs.field(factory=list)
    limits: list[float | None] = attrs.field(factory=list)
    refuse: bool = False
    refuse_as: str = 'shed'
    state: str = 'serving'
    drop_reply: bool = False
    echo_other_request: bool = False
    fail_probe: bool = False
    now_ms: float | None = None
    close_after_probe: bool = False
    state: str = 'serving'

    @property
    def target(self) -> ExecuteTarget:
        """The server as the daemon addresses it."""
        return ExecuteTarget(name='s', host='127.0.0.1', port=self.port)

    def execute(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Give status and body of the answer; status 0 closes instead."""
        echo = {name: request[name] for name in ('request_id', 'sub_query')}
        if self.refuse:
            return 503, {**echo, 'code': self.refuse_as, 'verdict': 'not_run'}
        self.runs[request['request_id']] += 1
        self.deadlines.append(request['deadline_ms'])
        self.limits.append(request.get('not_after_ms'))
        if self.echo_other_request:
            echo['request_id'] = 'another'
        outcome = {'key': request['key'], 'outcome': 'certificate 5'}
        return (0 if self.drop_reply else 200), {**echo, **outcome}


@attrs.define(kw_only=True)
class FixedTargetFinder:
    """Always the same servers; none at all stands for a defect."""

    targets: tuple[ExecuteTarget, ...] | None
    invalidations: int = 0
    draining: list[ExecuteTarget] = attrs.field(factory=list)

    def find(
        self,
        request: ExecuteRequest,
        deadline_at_ms: float,
    ) -> Result[tuple[ExecuteTarget, ...], Failure]:
        """Give the servers."""
        if self.targets is None:
            raise RuntimeError('a defect')
        return Success(self.targets)

    def invalidate(self, request: ExecuteRequest) -> None:
        """Count the calls."""
        self.invalidations += 1

    def record_draining(self, target: ExecuteTarget) -> None:
        """Keep what was noted."""
        self.draining.append(target)


class _FakeServerHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    fake: FakeServer

    def do_GET(self) -> None:
        """Answer the probe."""
        self.close_connection = self.fake.close_after_probe
        health = {'now_ms': self.fake.now_ms, 'state': self.fake.state}
        self._answer(503 if self.fake.fail_probe else 200, health)

    def do_POST(self) -> None:
        """Answer an execute."""
        length = int(self.headers['Content-Length'])
        status, document = self.fake.execute(
            json.loads(self.rfile.read(length))
        )
        if status:
            self._answer(status, document)
        else:
            self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Keep the test's output clean."""

    def _answer(self, status: int, document: dict[str, Any]) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


@contextmanager
def fake_server() -> Iterator[FakeServer]:
    """Serve from threads, on a port of the system's choice."""
    fake = FakeServer()
    calls = type('_BoundCalls', (_FakeServerHandler,), {'fake': fake})
    with ThreadingHTTPServer(('127.0.0.1', 0), calls) as listener:
        fake.port = listener.server_address[1]
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        yield fake
        listener.shutdown()


def free_port() -> int:
    """Give a port on which nothing listens."""
    with closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def build_gate(
    name: str = 'vm-1', limits: OnceLimits | None = None
) -> OnceGate:
    """Build the gate of a new incarnation on the system's clock."""
    rng = random.SystemRandom()
    key = ticket_key(name, rng.getrandbits(62), rng.randbytes(32))
    return once_gate(key, system_clock(), rng, limits)


def execute_request(gate: OnceGate, name: str = 'cert-1') -> ExecuteRequest:
    """Build a request under a fresh ticket of the gate."""
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
