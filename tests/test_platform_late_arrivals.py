"""Requests that reach backend servers late, as the servers see it.

Guards against attempts that are sent after the deadline of the caller by a
daemon whose event loop is late, against servers that are told a later end than
that of the caller, and against requests that arrive after they were cancelled.
"""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Iterator

import attrs
import pytest
from daemon_builders_listener import LoopbackListener, running
from platform_builders_arrivals import (
    Arrival,
    ArrivalRecorder,
    read_arrival,
    register_servers,
)

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet
from fennelfork_platform_bench._store_client import (
    HOST,
    SHARDS,
    build_config,
)

_DAEMON = 'vm-0'
_MS_PER_S = 1000
# Time that a server may be told beyond the end of the caller.
_SLACK_S = 0.5
_WAIT_S = 5
# Standstill of the event loop of the daemon.
_STOOD_S = 1.5
_WIDE = tuple(f'wide-{number}' for number in range(24))
_BURST = 100
_BURST_DEADLINE_MS = 400
# Requests whose share of the retry budget pays for a hedge.
_PAYING = 20
_MANY_CONNECTIONS = 400
_LEAVERS = 10


@attrs.frozen(kw_only=True)
class _Caller:
    """Request of a caller on a connection of its own.

    Attributes:
        request_id: id of the request.
        ends_s: time until which the caller waits.
    """

    request_id: str
    ends_s: float
    _connection: socket.socket

    def read(self) -> bytes:
        """Read the first bytes of the answer, none if it is closed or late."""
        self._connection.settimeout(_WAIT_S)
        with contextlib.suppress(OSError):
            return self._connection.recv(65_536)
        return b''

    def leave(self) -> None:
        """Close the connection."""
        self._connection.close()


def _connect(fleet: PlatformFleet) -> socket.socket:
    host, _, port = fleet.addresses[_DAEMON].front.rpartition(':')
    return socket.create_connection((host, int(port)), timeout=_WAIT_S)


def _send(
    connection: socket.socket, path: str, request_id: str, deadline_ms: int
) -> _Caller:
    """Send a request on a connection without a wait for the answer."""
    lines = (
        f'GET {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
    )
    ends_s = time.monotonic() + deadline_ms / _MS_PER_S
    connection.sendall('\r\n'.join((*lines, '', '')).encode())
    return _Caller(request_id=request_id, ends_s=ends_s, connection=connection)


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store with a configuration that has an additional wide route."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    tree = build_config(1, SHARDS, (*SHARDS, *_WIDE))
    wide = {**tree['Routes'][0], 'Name': 'wide', 'Prefix': '/wide/'}
    tree['Routes'].append({**wide, 'Gather': list(_WIDE)})
    for service in tree['Services']:
        service['MaxConns'] = _MANY_CONNECTIONS
    started.store_client.write_key('op/config', json.dumps(tree).encode())
    return started


@pytest.fixture
def servers(fleet: PlatformFleet) -> Iterator[ArrivalRecorder]:
    """Run servers of all services and one daemon."""
    with ArrivalRecorder().running() as recorder:
        recorder.register(fleet, (*SHARDS, *_WIDE, 'archive'))
        _start_daemon(fleet)
        yield recorder


def _start_daemon(fleet: PlatformFleet) -> None:
    fleet.start_daemon(_DAEMON, ZONES[0])
    await_ready(fleet, _DAEMON)


@contextlib.contextmanager
def _standing_still(fleet: PlatformFleet) -> Iterator[None]:
    """Let the event loop of the daemon stand still after a `with` block."""
    fleet.daemons[_DAEMON].pause()
    try:
        yield
        time.sleep(_STOOD_S)
    finally:
        fleet.daemons[_DAEMON].resume()


def _await_arrival(
    servers: ArrivalRecorder, request_id: str, service: str
) -> Arrival:
    wait_until(
        lambda: servers.of(request_id, service), _WAIT_S, 'the first attempt'
    )
    return servers.of(request_id, service)[0]


@pytest.mark.process
class TestLateEventLoop:
    """The event loop of the daemon is late."""

    @pytest.mark.parametrize('prefix', ['/one/', '/all/'])
    def test_no_hedge_after_the_deadline(
        self, fleet: PlatformFleet, servers: ArrivalRecorder, prefix: str
    ) -> None:
        """A hedge that is due while the loop stands still is not sent late."""
        slow = 'archive' if prefix == '/one/' else SHARDS[0]
        for number in range(_PAYING):
            _send(
                _connect(fleet), f'{prefix}{number}', f'p-{number}', 800
            ).read()
        servers.silent.add(slow)
        caller = _send(_connect(fleet), f'{prefix}7', 'r-7', 800)
        _await_arrival(servers, 'r-7', slow)
        with _standing_still(fleet):
            servers.silent.clear()
        caller.read()
        time.sleep(_SLACK_S)
        late_s = [
            arrival.at_s - caller.ends_s
            for arrival in servers.of('r-7', slow)
            if arrival.at_s > caller.ends_s
        ]
        assert not late_s

    def test_no_attempt_without_time(
        self, fleet: PlatformFleet, servers: ArrivalRecorder
    ) -> None:
        """Attempts that wait for an overloaded loop lapse at the deadline."""
        connections = [_connect(fleet) for _ in range(_BURST)]
        callers = [
            _send(connection, '/wide/7', f'r-{number}', _BURST_DEADLINE_MS)
            for number, connection in enumerate(connections)
        ]
        for caller in callers:
            caller.read()
        time.sleep(_SLACK_S)
        lapsed = [one for one in servers.arrivals if one.left_ms <= 1]
        assert 'fell_behind' in fleet.logs[0].read_text()
        assert not lapsed, len(lapsed)

    def test_wait_for_the_loop_is_not_handed_on(
        self, fleet: PlatformFleet, servers: ArrivalRecorder
    ) -> None:
        """The time in which a request waits to be read counts as used."""
        connection = _connect(fleet)
        _send(connection, '/one/6', 'r-6', 2000).read()
        with _standing_still(fleet):
            caller = _send(connection, '/one/7', 'r-7', 2000)
        caller.read()
        arrivals = servers.of('r-7', 'archive')
        late_s = [arrival.ends_s - caller.ends_s for arrival in arrivals]
        assert arrivals
        assert max(late_s) <= _SLACK_S

    def test_caller_left_before_its_request_is_read(
        self, fleet: PlatformFleet, servers: ArrivalRecorder
    ) -> None:
        """Nobody waits any more for requests whose callers have left."""
        connections = [_connect(fleet) for _ in range(_LEAVERS)]
        served = [
            _send(connection, '/one/6', f'p-{number}', 2000)
            for number, connection in enumerate(connections)
        ]
        for caller in served:
            caller.read()
        with _standing_still(fleet):
            for number, connection in enumerate(connections):
                _send(connection, '/one/7', f'r-{number}', 4000).leave()
        time.sleep(_SLACK_S)
        late = [
            number
            for number in range(_LEAVERS)
            if servers.of(f'r-{number}', 'archive')
        ]
        assert not late


@attrs.define(kw_only=True)
class _LateReader(LoopbackListener):
    """Link that holds back what is sent through it, and the server behind.

    The kernel accepts connections and requests. Once the link lets them pass,
    a request arrives unless its connection was reset: the network drops the
    bytes of a connection that its sender has reset.

    Attributes:
        may_read: set when the link lets requests pass.
        arrivals: requests that arrived.
    """

    may_read: threading.Event = attrs.field(factory=threading.Event)
    arrivals: list[Arrival] = attrs.field(factory=list)

    def serve(self) -> None:
        """Read one request of each connection until the listener is closed."""
        self.may_read.wait()
        for accepted in self.accept_all():
            accepted.settimeout(_SLACK_S)
            with accepted, contextlib.suppress(OSError):
                head = accepted.recv(65_536).decode()
                if head and not _is_reset(accepted):
                    self.arrivals.append(read_arrival(head))


def _is_reset(connection: socket.socket) -> bool:
    """Whether a connection without further bytes was reset."""
    try:
        connection.recv(1)
    except ConnectionResetError:
        return True
    except TimeoutError:
        return False
    return False


@pytest.fixture
def late_reader(fleet: PlatformFleet) -> Iterator[_LateReader]:
    """Run servers of one service that read late, and one daemon."""
    reader = _LateReader()
    with running(reader):
        register_servers(fleet, 'archive', str(reader.address))
        _start_daemon(fleet)
        try:
            yield reader
        finally:
            reader.may_read.set()


@pytest.mark.process
class TestHeldUpBytes:
    """What a daemon has sent is held up, and the request ends meanwhile."""

    @pytest.mark.parametrize('leaves', [True, False])
    def test_cancelled_request_never_arrives(
        self, fleet: PlatformFleet, late_reader: _LateReader, leaves: bool
    ) -> None:
        """The connection of a cancelled attempt takes its request along."""
        caller = _send(_connect(fleet), '/one/7', 'r-7', 600)
        time.sleep(_SLACK_S / 2)
        if leaves:
            caller.leave()
        # The deadline and the time for which attempts may still be answered.
        time.sleep(_STOOD_S)
        late_reader.may_read.set()
        time.sleep(_SLACK_S)
        assert not late_reader.arrivals
