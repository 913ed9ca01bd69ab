"""Messages without end to a real daemon, beside a steady caller.

Guards against a peer that holds the daemon, its memory or other callers, as long
as it sends bytes.
"""

import contextlib
import json
import re
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
import pytest
import urllib3
from daemon_builders_endless import (
    REQUEST_FORMS,
    RESPONSE_FORMS,
    UNREAD_FORMS,
    EndlessForm,
    EndlessServer,
    endless_server,
    send_endless,
)

from fennelfork_bench.rig._process import rig, wait_until
from fennelfork_platform_bench._events import await_ready, await_registered
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet
from fennelfork_platform_bench._store_client import HOST, SHARDS, build_config

pytestmark = pytest.mark.process

_DAEMON = 'vm-0'
_PAUSE_S = 0.02
_MAX_WAIT_S = 1.0
_MAX_GROWTH_KB = 30 * 1024
_MAX_CLIENT_S = 0.5
# `HeaderTimeoutMs`, once for the head and once for the body.
_MAX_READ_S = 6.0
# A daemon reads on for this time after a refusal, so that the answer arrives.
_LINGER_S = 0.5
# `HeaderTimeoutMs` bounds the time for which a client may read no answers.
_MAX_UNREAD_S = 3.0
# Time in which the buffers of both sides are full of answers.
_FILLED_S = 3.0
_UNREAD_BUFFER_BYTES = 4096
_MAX_SERVER_S = 0.5
_MAX_ANSWER_S = 2.5
_MANY_CALLERS = 40
_MANY_REQUESTS = 160
# `MemoryMb` of the smallest machines.
_MAX_MEMORY_KB = 300 * 1024
_RSS = re.compile(r'VmRSS:\s+(\d+) kB')


@attrs.define(kw_only=True)
class _SteadyCaller:
    """Caller whose requests must not be affected."""

    fleet: PlatformFleet
    is_done: bool = False
    waits_s: list[float] = attrs.field(factory=list)
    statuses: set[int | str] = attrs.field(factory=set)
    _thread: threading.Thread = attrs.field(init=False)

    def __enter__(self) -> '_SteadyCaller':
        """Start to send requests."""
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        time.sleep(_PAUSE_S)
        return self

    def __exit__(self, *details: object) -> None:
        """Stop to send requests."""
        self.is_done = True
        self._thread.join()

    def _run(self) -> None:
        while not self.is_done:
            began_s = time.monotonic()
            try:
                answer = self.fleet.send_request(_DAEMON, '/one/7', 'steady')
            except urllib3.exceptions.HTTPError as error:
                self.statuses.add(type(error).__name__)
            else:
                self.statuses.add(answer.status)
            self.waits_s.append(time.monotonic() - began_s)
            time.sleep(_PAUSE_S)


@attrs.define(kw_only=True)
class _MemoryWatch:
    """Watch of the memory of the daemon.

    Attributes:
        peak_kb: largest memory that was seen, in KiB.
    """

    fleet: PlatformFleet
    peak_kb: int = 0
    _is_done: bool = False
    _thread: threading.Thread = attrs.field(init=False)

    def __enter__(self) -> '_MemoryWatch':
        """Start to watch."""
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        """Stop to watch."""
        self._is_done = True
        self._thread.join()

    def _run(self) -> None:
        while not self._is_done:
            self.peak_kb = max(self.peak_kb, _rss_kb(self.fleet))
            time.sleep(_PAUSE_S)


@pytest.fixture(scope='module')
def fleet() -> Iterator[PlatformFleet]:
    """Run a store, backend servers and one daemon."""
    with rig() as processes:
        store = processes.start_module(
            'store', 'fennelfork_platform_bench.store'
        )
        running = PlatformFleet(
            rig=processes, store=store.await_ready().ready['address']
        )
        running.start(daemons=1)
        tree = build_config(2, SHARDS, (*SHARDS, 'endless'))
        endless = {**tree['Routes'][1], 'Name': 'endless'}
        endless |= {'Prefix': '/endless/', 'Service': 'endless'}
        tree['Routes'].append(endless)
        running.store_client.write_key('op/config', json.dumps(tree).encode())
        await_registered(running)
        await_ready(running, _DAEMON)
        yield running


def _rss_kb(fleet: PlatformFleet) -> int:
    status = Path(f'/proc/{fleet.daemons[_DAEMON].pid}/status').read_text()
    found = _RSS.search(status)
    assert found is not None
    return int(found[1])


def _check_others(
    fleet: PlatformFleet, caller: _SteadyCaller, rss_kb: int
) -> None:
    assert caller.statuses == {200}
    assert max(caller.waits_s) < _MAX_WAIT_S
    assert _rss_kb(fleet) - rss_kb < _MAX_GROWTH_KB


@pytest.mark.parametrize('form', sorted(REQUEST_FORMS))
def test_endless_request_ends_alone(fleet: PlatformFleet, form: str) -> None:
    """The connection of the client ends, and other callers do not wait."""
    took_s = _send_request(fleet, REQUEST_FORMS[form])
    assert took_s < _MAX_CLIENT_S


@pytest.mark.parametrize('form', sorted(REQUEST_FORMS))
def test_slow_request_ends_alone(fleet: PlatformFleet, form: str) -> None:
    """A request without end ends in time, too, if a byte is sent at a time."""
    slow = attrs.evolve(REQUEST_FORMS[form], is_slow=True)
    took_s = _send_request(fleet, slow)
    assert took_s < _MAX_READ_S + _MAX_CLIENT_S + _LINGER_S


def _send_request(fleet: PlatformFleet, form: EndlessForm) -> float:
    """Send a request beside the steady caller and return how long it took."""
    host, _, port = fleet.addresses[_DAEMON].front.rpartition(':')
    rss_kb = _rss_kb(fleet)
    with _SteadyCaller(fleet=fleet) as caller:
        with socket.create_connection((host, int(port))) as connection:
            took_s = send_endless(connection, form)
    _check_others(fleet, caller, rss_kb)
    return took_s


@pytest.mark.parametrize('listener', ['front', 'ready', 'entries', 'control'])
@pytest.mark.parametrize('form', ['long-body', 'long-chunks', 'trailer-lines'])
def test_body_that_nobody_reads_ends_alone(
    fleet: PlatformFleet, listener: str, form: str
) -> None:
    """A body without end at an interface that reads no body ends, too."""
    address = getattr(fleet.addresses[_DAEMON], listener)
    host, _, port = address.rpartition(':')
    rss_kb = _rss_kb(fleet)
    endless = REQUEST_FORMS[form]
    begin = endless.begin.replace(b'POST /one/7', b'GET /-/ready')
    with _SteadyCaller(fleet=fleet) as caller:
        with socket.create_connection((host, int(port))) as connection:
            took_s = send_endless(
                connection, attrs.evolve(endless, begin=begin)
            )
    _check_others(fleet, caller, rss_kb)
    assert took_s < _MAX_CLIENT_S + _LINGER_S


@pytest.mark.parametrize('form', sorted(UNREAD_FORMS))
def test_requests_without_end_end_alone(
    fleet: PlatformFleet, form: str
) -> None:
    """A client that reads no answers loses its connection, others do not wait.

    Guards against requests in a row on one connection, each of them proper.
    """
    host, _, port = fleet.addresses[_DAEMON].front.rpartition(':')
    rss_kb = _rss_kb(fleet)
    with _SteadyCaller(fleet=fleet) as caller, socket.socket() as connection:
        # Full sooner than a buffer of the usual size.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BUFFER_BYTES
        )
        connection.connect((host, int(port)))
        took_s = send_endless(connection, UNREAD_FORMS[form])
    _check_others(fleet, caller, rss_kb)
    assert took_s < _MAX_UNREAD_S + _FILLED_S


@pytest.mark.parametrize('form', sorted(RESPONSE_FORMS))
def test_endless_response_ends_alone(fleet: PlatformFleet, form: str) -> None:
    """The caller gets a failure in time, and other callers do not wait."""
    longest_s = _answer(fleet, form, RESPONSE_FORMS[form])
    assert longest_s < _MAX_SERVER_S


@pytest.mark.parametrize('form', sorted(RESPONSE_FORMS))
def test_slow_response_ends_alone(fleet: PlatformFleet, form: str) -> None:
    """A response without end ends in time, too, if a byte is sent at a time."""
    slow = attrs.evolve(RESPONSE_FORMS[form], is_slow=True)
    longest_s = _answer(fleet, form, slow)
    assert longest_s < _MAX_ANSWER_S


def _answer(fleet: PlatformFleet, name: str, form: EndlessForm) -> float:
    """Let a server answer requests and return its longest response."""
    with endless_server(form) as server:
        key, path = _register(fleet, name, server)
        rss_kb = _rss_kb(fleet)
        with contextlib.ExitStack() as stack:
            stack.callback(fleet.store_client.remove_key, key)
            caller = stack.enter_context(_SteadyCaller(fleet=fleet))
            wait_until(
                lambda: _ask_endless(fleet, path)[0] != 503, 3, 'the server'
            )
            status, took_s = _ask_endless(fleet, path)
    _check_others(fleet, caller, rss_kb)
    assert status in {502, 503, 504}
    assert took_s < _MAX_ANSWER_S
    assert server.ended_s
    return max(server.ended_s)


def _register(
    fleet: PlatformFleet, name: str, server: EndlessServer
) -> tuple[str, str]:
    """Write the entry of a server; return its key and a path to request."""
    entry = {
        'Service': 'endless',
        'Address': str(server.address),
        'Zone': ZONES[0],
        'Version': 'v1',
        'Slots': 5,
        'State': 'ready',
        'WarmupLeftMs': 0,
        'SeqNo': 1,
    }
    key = f'servers/i-{name}-{server.address.port}'
    fleet.store_client.write_key(key, json.dumps(entry).encode())
    return key, f'/endless/{name}/{server.address.port}'


def _ask_endless(fleet: PlatformFleet, path: str) -> tuple[int, float]:
    """Return the status of a request to the server, and the time it took."""
    began_s = time.monotonic()
    host, _, port = fleet.addresses[_DAEMON].front.rpartition(':')
    answer = urllib3.request(
        'GET',
        f'http://{host}:{port}{path}',
        headers={'Host': HOST, 'X-Request-Id': 'endless'},
        retries=False,
        timeout=9,
    )
    return answer.status, time.monotonic() - began_s


@pytest.mark.parametrize('form', ['body', 'long-body', 'long-chunks'])
def test_endless_responses_together_fit_in_memory(
    fleet: PlatformFleet, form: str
) -> None:
    """Many callers of one server that sends without end are refused.

    Guards against a daemon whose memory grows with each such response.
    """
    with endless_server(RESPONSE_FORMS[form]) as server:
        key, path = _register(fleet, f'many-{form}', server)
        with contextlib.ExitStack() as stack:
            stack.callback(fleet.store_client.remove_key, key)
            wait_until(
                lambda: _ask_endless(fleet, path)[0] != 503, 3, 'the server'
            )
            memory = stack.enter_context(_MemoryWatch(fleet=fleet))
            with ThreadPoolExecutor(_MANY_CALLERS) as callers:
                asked = [
                    callers.submit(_ask_endless, fleet, path)
                    for _ in range(_MANY_REQUESTS)
                ]
            statuses = {each.result()[0] for each in asked}
    assert statuses <= {502, 503, 504}
    assert memory.peak_kb < _MAX_MEMORY_KB
