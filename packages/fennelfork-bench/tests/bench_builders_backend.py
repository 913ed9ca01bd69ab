"""Builders of stand-in processes and of the requests sent to them."""

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
class Answer:
    """Status and JSON body of an HTTP answer."""

    status: int
    body: Any


@attrs.frozen(kw_only=True)
class Backend:
    """A stand-in process and the ways to talk to it."""

    address: str
    control: str
    calls: urllib3.PoolManager = attrs.field(
        factory=lambda: urllib3.PoolManager(maxsize=8, retries=False),
    )

    def post(self, path: str, timeout: float = _WAIT_S, **body: Any) -> Answer:
        """Send a POST of a call."""
        return self._ask('POST', self.address, path, body, timeout)

    def get(self, path: str) -> Answer:
        """Send a GET of a call."""
        return self._ask('GET', self.address, path, None, _WAIT_S)

    def order(self, name: str, **body: Any) -> Answer:
        """Send a POST to the control face."""
        return self._ask(
            'POST', self.control, f'/control/{name}', body, _WAIT_S
        )

    def faults(self, *rules: dict[str, Any], **others: Any) -> None:
        """Put faults in force, those given and no others."""
        answer = self.order('faults', rules=rules, **others)
        assert answer.status == 200, answer

    def page(self) -> dict[str, Any]:
        """Read the log with its counts."""
        path = '/control/log'
        return self._ask('GET', self.control, path, None, _WAIT_S).body

    def log(self) -> list[dict[str, Any]]:
        """Read the events of the log."""
        return self.page()['events']

    def kinds(self, request_id: str) -> list[str]:
        """Read which events a request met, in their order."""
        return [
            event['kind']
            for event in self.log()
            if event['request_id'] == request_id
        ]

    def wait_for(self, request_id: str, kind: str) -> None:
        """Wait until a request met an event."""
        wait_until(lambda: kind in self.kinds(request_id))

    def _ask(
        self, method: str, address: str, path: str, body: Any, timeout: float
    ) -> Answer:
        response = self.calls.request(
            method,
            f'http://{address}{path}',
            body=None if body is None else json.dumps(body),
            timeout=timeout,
        )
        return Answer(status=response.status, body=response.json())


@contextlib.contextmanager
def backend(**settings: Any) -> Iterator[Backend]:
    """Run a stand-in process for the time of a test."""
    options = [
        f'--{name.replace("_", "-")}={value}'
        for name, value in {'connect_ms': 0, 'mean_ms': 1, **settings}.items()
    ]
    with _process(options) as ready:
        yield Backend(address=ready['address'], control=ready['control'])


@contextlib.contextmanager
def backends(*settings: dict[str, Any]) -> Iterator[dict[str, Backend]]:
    """Run one process with several stand-ins, given by name."""
    with tempfile.NamedTemporaryFile('w', suffix='.json') as servers:
        json.dump(settings, servers)
        servers.flush()
        with _process([f'--servers={servers.name}']) as ready:
            yield {
                one['name']: Backend(
                    address=one['address'], control=one['control']
                )
                for one in ready['servers']
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
    """Build the body of a search of all 1000 keys."""
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
    """Wait until a condition holds, within a generous cap."""
    deadline = time.monotonic() + _WAIT_S
    while not holds():
        assert time.monotonic() < deadline, 'waited in vain'
        time.sleep(_STEP_S)


@contextlib.contextmanager
def in_thread(call: Callable[[], Any]) -> Iterator[list[Any]]:
    """Run a call beside the test; its return value is in the list at the end."""
    outputs: list[Any] = []
    thread = threading.Thread(target=lambda: outputs.append(call()))
    thread.start()
    try:
        yield outputs
    finally:
        thread.join()
