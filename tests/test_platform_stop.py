"""Requests that reach a stopping daemon, on real processes.

Guards against requests that are admitted since earlier ones were short, and are
then cut when the daemon exits.
"""

import itertools
import json
import math
import threading
import time
from http.client import HTTPConnection, HTTPException

import attrs
import pytest

from fennelfork_bench.rig._process import Rig
from fennelfork_platform_bench._events import await_ready, await_registered
from fennelfork_platform_bench._fleet import PlatformFleet
from fennelfork_platform_bench._store_client import HOST, SHARDS, build_config

_PREFIXES = ('/one/', '/once/', '/all/')
_TIMEOUT_MS = 15_000
# Usual runs of each route, one after the other: a daemon that wakes late admits
# fewer at once.
_USUAL_RUNS = 12
# Requests that are sent later than this after the signal are never cut.
_LATE_S = 3.05
# Requests that are sent by then are served as far as they end in time.
_EARLY_S = 2.5
_EXIT_S = 7.0
# Time for which callers keep their connections before the signal.
_KEPT_S = 0.5
# A connection that ends unread within this time crossed the close.
_CROSSED_S = 0.2


@attrs.frozen(kw_only=True)
class _Sent:
    """Request and its status, none without an answer.

    Attributes:
        name: ID of the request.
        after_s: time of the request after the signal.
        took_s: time until the answer or the end of the connection.
        status: HTTP status.
    """

    name: str
    after_s: float
    took_s: float
    status: int | None

    @property
    def kind(self) -> str:
        """Kind of the request, and whether it was sent late."""
        part = 'early' if self.after_s < _EARLY_S else 'late'
        return f'{self.name.partition("-")[0]} {part}'


@attrs.define(kw_only=True)
class _Stop:
    """Planned stop of a daemon and the requests that callers send in it."""

    port: int
    began_s: float = math.inf
    sent: list[_Sent] = attrs.field(factory=list)

    def wait_until(self, after_s: float) -> None:
        """Sleep until a time after the signal."""
        time.sleep(max(0, self.began_s + after_s - time.monotonic()))

    def send(self, path: str, name: str, deadline_ms: int) -> None:
        """Send a request on a new connection."""
        connection = HTTPConnection('127.0.0.1', self.port)
        connection.connect()
        self._record(connection, path, name, deadline_ms)
        connection.close()

    def send_short_requests(self, prefix: str) -> None:
        """Send requests until the daemon does not listen any more.

        The connection is kept until the daemon closes it.
        """
        connection = HTTPConnection('127.0.0.1', self.port)
        for serial in itertools.count():
            try:
                connection.connect()
            except ConnectionRefusedError:
                return
            while connection.sock is not None:
                name = f'short-{serial}{prefix}'
                path = f'{prefix}work-100/7'
                self._record(connection, path, name, _TIMEOUT_MS)

    def _record(
        self,
        connection: HTTPConnection,
        path: str,
        name: str,
        deadline_ms: int,
    ) -> None:
        began_s = time.monotonic()
        headers = {
            'Host': HOST,
            'X-Request-Id': name,
            'X-Deadline-Ms': str(deadline_ms),
        }
        status = None
        try:
            status = _exchange(connection, path, headers)
        except (HTTPException, OSError):
            connection.close()
        self.sent.append(
            _Sent(
                name=name,
                after_s=began_s - self.began_s,
                took_s=time.monotonic() - began_s,
                status=status,
            )
        )


def _exchange(
    connection: HTTPConnection, path: str, headers: dict[str, str]
) -> int:
    """Send a request, read the whole response and return its status."""
    connection.request('GET', path, headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store, backend servers and one daemon with long timeouts."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    running = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    running.start(daemons=1)
    tree = build_config(2, SHARDS)
    for one in tree['Routes']:
        one['TimeoutMs'] = _TIMEOUT_MS
    running.store_client.write_key('op/config', json.dumps(tree).encode())
    await_registered(running)
    await_ready(running, 'vm-0')
    return running


def _start_all(calls: list[tuple[str, str, int]], stop: _Stop) -> None:
    threads = [
        threading.Thread(target=stop.send, args=arguments)
        for arguments in calls
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest.mark.process
def test_late_long_run_is_not_cut_in_a_stop(fleet: PlatformFleet) -> None:
    """Runs longer than all before are refused late in a stop, never cut.

    Guards against callers that lose a request to a planned stop, and against
    the refusal of what ends in time.
    """
    front = fleet.addresses['vm-0'].front
    stop = _Stop(port=int(front.rpartition(':')[2]))
    for number in range(_USUAL_RUNS):
        _start_all(
            [
                (f'{prefix}work-50/{number}', f'usual-{number}', _TIMEOUT_MS)
                for prefix in _PREFIXES
            ],
            stop,
        )
    callers = [
        threading.Thread(target=stop.send_short_requests, args=(prefix,))
        for prefix in _PREFIXES
    ]
    for caller in callers:
        caller.start()
    time.sleep(_KEPT_S)
    assert {sent.status for sent in stop.sent} == {200}
    stop.began_s = time.monotonic()
    fleet.daemons['vm-0'].terminate()
    stop.wait_until(_LATE_S)
    _start_all(
        [
            (f'{prefix}work-2600/7', f'long-{prefix}', _TIMEOUT_MS)
            for prefix in _PREFIXES
        ]
        + [
            (f'{prefix}work-100/7', f'bounded-{prefix}', 1000)
            for prefix in _PREFIXES
        ],
        stop,
    )
    for caller in callers:
        caller.join()
    assert fleet.daemons['vm-0'].wait(_EXIT_S) == 0
    runs = fleet.servers['archive-east-1'].stdout.read_text()
    runs += fleet.servers['archive-west-1'].stdout.read_text()
    assert 'long-' not in runs
    unanswered = [sent for sent in stop.sent if sent.status is None]
    for sent in unanswered:
        assert sent.kind == 'short late'
        assert sent.took_s < _CROSSED_S
        assert f'"{sent.name}"' not in runs
    statuses: dict[str, set[int | None]] = {}
    for sent in stop.sent:
        statuses.setdefault(sent.kind, set()).add(sent.status)
    assert statuses.pop('short late') <= {200, 503, None}
    assert statuses == {
        'usual early': {200},
        'short early': {200},
        'long late': {503},
        'bounded late': {200},
    }
