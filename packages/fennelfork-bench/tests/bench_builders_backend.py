"""Builders of stand-in processes and of requests to the stand-ins."""

import contextlib
import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import urllib3

_WAIT_S = 20
_STEP_S = 0.005


@attrs.frozen(kw_only=True)
class HttpResponse:
    """Status and JSON body of an HTTP response."""

    status: int
    body: Any


@attrs.frozen(kw_only=True)
class Backend:
    """Client of a stand-in process."""

    address: str
    control: str
    pool: urllib3.PoolManager = attrs.field(
        factory=lambda: urllib3.PoolManager(maxsize=8, retries=False),
    )

    def post(
        self, path: str, timeout: float = _WAIT_S, **body: Any
    ) -> HttpResponse:
        """Send a POST request to the backend protocol."""
        return self._send_request('POST', self.address, path, body, timeout)

    def get(self, path: str) -> HttpResponse:
        """Send a GET request to the backend protocol."""
        return self._send_request('GET', self.address, path, None, _WAIT_S)

    def send_command(self, name: str, **body: Any) -> HttpResponse:
        """Send a command to the control interface."""
        return self._send_request(
            'POST', self.control, f'/control/{name}', body, _WAIT_S
        )

    def set_faults(self, *rules: dict[str, Any], **others: Any) -> None:
        """Replace the active faults."""
        response = self.send_command('faults', rules=rules, **others)
        assert response.status == 200, response

    def read_log_page(self) -> dict[str, Any]:
        """Read the log with the event counts."""
        path = '/control/log'
        return self._send_request('GET', self.control, path, None, _WAIT_S).body

    def read_events(self) -> list[dict[str, Any]]:
        """Read the events of the log."""
        return self.read_log_page()['events']

    def event_kinds(self, request_id: str) -> list[str]:
        """Read the kinds of the events of a request, in order."""
        return [
            event['kind']
            for event in self.read_events()
            if event['request_id'] == request_id
        ]

    def wait_for(self, request_id: str, kind: str) -> None:
        """Wait until a request has an event of a kind."""
        wait_until(lambda: kind in self.event_kinds(request_id))

    def _send_request(
        self, method: str, address: str, path: str, body: Any, timeout: float
    ) -> HttpResponse:
        response = self.pool.request(
            method,
            f'http://{address}{path}',
            body=None if body is None else json.dumps(body),
            timeout=timeout,
        )
        return HttpResponse(status=response.status, body=response.json())


@contextlib.contextmanager
def backend(**settings: Any) -> Iterator[Backend]:
    """Run a stand-in process during a test."""
    options = [
        f'--{name.replace("_", "-")}={value}'
        for name, value in {'connect_ms': 0, 'mean_ms': 1, **settings}.items()
    ]
    with _process(options) as ready:
        yield Backend(address=ready['address'], control=ready['control'])


@contextlib.contextmanager
def backends(*settings: dict[str, Any]) -> Iterator[dict[str, Backend]]:
    """Run one process with several stand-ins and yield them by name."""
    with tempfile.NamedTemporaryFile('w', suffix='.json') as servers:
        json.dump(settings, servers)
        servers.flush()
        with _process([f'--servers={servers.name}']) as ready:
            yield {
                server['name']: Backend(
                    address=server['address'], control=server['control']
                )
                for server in ready['servers']
            }


@contextlib.contextmanager
def _process(options: list[str]) -> Iterator[dict[str, Any]]:
    command = [sys.executable, '-m', 'fennelfork_bench.backend', *options]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            yield json.loads(process.stdout.readline())['ready']
        finally:
            process.kill()


def search_body(request_id: str = 'r1', **fields: Any) -> dict[str, Any]:
    """Build the body of a search for all 1000 keys."""
    return {
        'request_id': request_id,
        'sub_query': 's0',
        'snapshot': 1,
        'lo': 0,
        'hi': 1000,
        'query': {},
        'deadline_ms': 10_000,
        **fields,
    }


def execute_body(request_id: str = 'r1', **fields: Any) -> dict[str, Any]:
    """Build the body of an execution."""
    return {
        'request_id': request_id,
        'sub_query': 's0',
        'key': 3,
        'action': 'issue',
        'deadline_ms': 10_000,
        **fields,
    }


def wait_until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, with a timeout."""
    deadline = time.monotonic() + _WAIT_S
    while not holds():
        assert time.monotonic() < deadline, (
            f'the condition does not hold after {_WAIT_S} s'
        )
        time.sleep(_STEP_S)


@contextlib.contextmanager
def run_in_thread(call: Callable[[], Any]) -> Iterator[list[Any]]:
    """Run a function in a thread; yield a list that receives its result."""
    outputs: list[Any] = []
    thread = threading.Thread(target=lambda: outputs.append(call()))
    thread.start()
    try:
        yield outputs
    finally:
        thread.join()
