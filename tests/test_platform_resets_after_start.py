"""Servers that reset new connections to a daemon that has just started.

Guards against attempts that are neither counted nor paid for, although their
servers have run the request.
"""

import contextlib
import json
import re
import socket
import struct
import time
from collections import Counter
from collections.abc import Iterator

import attrs
import pytest
from daemon_builders_listener import LoopbackListener, running
from platform_builders import registration

from fennelfork_bench.rig._process import Rig
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet

_DAEMON = 'vm-0'
_REQUESTS = 12
_SERVERS = 6
# `MaxAttempts` and `RetryBudget` of the fleet.
_MAX_ATTEMPTS = 2
_RETRY_RATIO = 0.2
# All requests are sent within this time after the daemon is ready.
_UNSETTLED_S = 2.0
_TIMEOUT_S = 5
# Lets a close reset the connection.
_ABORT = struct.pack('ii', 1, 0)
_REQUEST_ID = re.compile(rb'(?i)\r\nx-request-id: ([^\r]*)\r\n')


@attrs.define(kw_only=True)
class ResettingServer(LoopbackListener):
    """Server that resets each connection.

    Attributes:
        runs: whether the server runs the request first.
        arrivals: ids of the requests that arrived.
    """

    runs: bool
    arrivals: list[str] = attrs.field(factory=list)

    def serve(self) -> None:
        """Reset each connection until the listener is closed."""
        for accepted in self.accept_all():
            accepted.settimeout(_TIMEOUT_S)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
            with accepted, contextlib.suppress(OSError):
                if self.runs:
                    self._record(accepted.recv(65_536))

    def _record(self, request: bytes) -> None:
        request_id = _REQUEST_ID.search(request)
        if request_id is not None:
            self.arrivals.append(request_id[1].decode())


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store with a configuration."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    started.configure(1)
    return started


@pytest.fixture
def servers(
    fleet: PlatformFleet, request: pytest.FixtureRequest
) -> Iterator[list[ResettingServer]]:
    """Run servers that reset connections, with or without running requests."""
    with contextlib.ExitStack() as stack:
        started = [
            stack.enter_context(running(ResettingServer(runs=request.param)))
            for _ in range(_SERVERS)
        ]
        for index, server in enumerate(started):
            entry = registration(
                Address=str(server.address), Zone=ZONES[index % len(ZONES)]
            )
            fleet.store_client.write_key(
                f'servers/i-{index}', json.dumps(entry).encode()
            )
        yield started


@pytest.mark.process
class TestResets:
    """The daemon has started, and other daemons may hold the connections."""

    @pytest.mark.parametrize('servers', [True], indirect=True)
    def test_after_the_run(
        self, fleet: PlatformFleet, servers: list[ResettingServer]
    ) -> None:
        """The attempts keep to the limit of the route and to the budget."""
        _start_daemon(fleet)
        began_s = time.monotonic()
        for number in range(_REQUESTS):
            fleet.send_request(_DAEMON, f'/one/{number}', f'r-{number}')
        took_s = time.monotonic() - began_s
        arrivals = Counter(
            arrived for server in servers for arrived in server.arrivals
        )
        assert len(arrivals) == _REQUESTS
        assert max(arrivals.values()) <= _MAX_ATTEMPTS
        extra = arrivals.total() - _REQUESTS
        assert extra <= _RETRY_RATIO * _REQUESTS
        assert took_s < _UNSETTLED_S

    @pytest.mark.parametrize('servers', [False], indirect=True)
    @pytest.mark.parametrize('prefix', ['/one/', '/once/'])
    def test_at_the_limit(
        self,
        fleet: PlatformFleet,
        servers: list[ResettingServer],
        prefix: str,
    ) -> None:
        """A server that resets before it gets a request is no attempt.

        The request is answered by the only server that has a connection left.
        """
        fleet.start_server('archive', ZONES[0], 'i-free')
        _await_server(fleet)
        _start_daemon(fleet)
        answer = fleet.send_request(_DAEMON, f'{prefix}7', 'r-7')
        assert answer.status == 200


def _start_daemon(fleet: PlatformFleet) -> None:
    fleet.start_daemon(_DAEMON, ZONES[0])
    await_ready(fleet, _DAEMON)


def _await_server(fleet: PlatformFleet) -> None:
    deadline_s = time.monotonic() + _TIMEOUT_S
    while fleet.store_client.count_keys('servers/') <= _SERVERS:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
