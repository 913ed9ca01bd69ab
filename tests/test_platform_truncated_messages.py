"""Messages that end early, between real processes.

Guards against a truncated answer of a backend server that is merged or
forwarded, and against a truncated request that reaches a backend server.
"""

import itertools
import json
import os
import random
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from typing import Any

import attrs
import pytest
from daemon_builders_endings import (
    CuttingServer,
    Ending,
    cutting_server,
    end_connection,
    truncations,
)
from platform_builders import registration

from fennelfork_bench.rig._process import Rig
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet
from fennelfork_platform_bench._records import NON_IDEMPOTENT_PREFIX
from fennelfork_platform_bench._store_client import HOST, SHARDS

# By hand, further seeds draw other truncations.
_SEED = int(os.environ.get('TRUNCATION_SEED', '7'))
_CASES = 45
_DAEMON = 'vm-0'
_OK = 200
_SERVICES = (*SHARDS, 'archive')
_ENDINGS = (Ending.CLOSE, Ending.HALF_CLOSE, Ending.RESET)


@attrs.define(kw_only=True)
class Servers:
    """Daemon with one backend server for each service.

    Attributes:
        fleet: processes of the daemon and of the store.
        by_service: backend server of each service.
    """

    fleet: PlatformFleet
    by_service: dict[str, CuttingServer]

    def send_request(self, path: str) -> Any:
        """Send one request to the daemon and return its answer."""
        return self.fleet.send_request(_DAEMON, path, path.rpartition('/')[-1])

    def send_part(self, part: bytes, ending: Ending) -> None:
        """Send a part of a request to the daemon and end the connection."""
        addresses = self.fleet.addresses[_DAEMON]
        host, _, port = addresses.front.rpartition(':')
        connection = socket.create_connection((host, int(port)))
        connection.sendall(part)
        # The daemon reads the part before a reset discards it.
        time.sleep(0.002)
        end_connection(connection, ending)
        if ending is Ending.HALF_CLOSE:
            with suppress(OSError):
                connection.recv(1)
            connection.close()


@pytest.fixture
def servers(processes: Rig) -> Iterator[Servers]:
    """Start a store, a daemon and one backend server for each service."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    fleet = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    fleet.configure(1)
    with ExitStack() as stack:
        by_service = {
            service: stack.enter_context(cutting_server())
            for service in _SERVICES
        }
        for service, running in by_service.items():
            running.response = _response(service)
            entry = registration(
                Service=service, Address=str(running.address), Zone=ZONES[0]
            )
            fleet.store_client.write_key(
                f'servers/i-{service}', json.dumps(entry).encode()
            )
        fleet.start_daemon(_DAEMON, ZONES[0])
        await_ready(fleet, _DAEMON)
        yield Servers(fleet=fleet, by_service=by_service)


def _record(service: str) -> bytes:
    return service.encode().ljust(16, b'.')


def _response(service: str) -> bytes:
    """Return a complete response that carries one record."""
    return (
        b'HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp-%s\r\n'
        b'Connection: close\r\nContent-Length: 16\r\n\r\n%s'
    ) % (service.encode(), _record(service))


def _cases(message: bytes) -> list[tuple[bytes, Ending]]:
    """Draw truncated messages and the ways in which they end."""
    cases = list(itertools.product(truncations(message), _ENDINGS))
    return random.Random(_SEED).sample(cases, _CASES)


@pytest.mark.process
class TestTruncatedAnswers:
    """A backend server ends its answers early."""

    def test_merged_answer(self, servers: Servers) -> None:
        """The part is missing, and its signature is not named."""
        faulty = servers.by_service['shard-c']
        whole = 0
        for number, case in enumerate(_cases(faulty.response)):
            faulty.response = case[0]
            faulty.ending = case[1]
            answer = servers.send_request(f'/all/{number}')
            if answer.status != _OK:
                continue
            whole += 1
            stamps = answer.headers['X-Part-Stamps'].split(', ')
            missing = int(answer.headers['X-Parts-Missing'])
            assert len(stamps) + missing == len(SHARDS), case
            assert 'stamp-shard-c' not in stamps
            assert answer.data == b''.join(
                sorted(
                    (_record(stamp.removeprefix('stamp-')) for stamp in stamps),
                    reverse=True,
                )
            )
        assert whole

    @pytest.mark.parametrize('prefix', ['/one/', NON_IDEMPOTENT_PREFIX])
    def test_forwarded_answer(self, servers: Servers, prefix: str) -> None:
        """No part of an answer is forwarded as a success."""
        faulty = servers.by_service['archive']
        for number, case in enumerate(_cases(faulty.response)):
            faulty.response = case[0]
            faulty.ending = case[1]
            answer = servers.send_request(f'{prefix}{number}')
            assert answer.status in {502, 503, 504}, case
        assert faulty.requests


@pytest.mark.process
class TestTruncatedRequests:
    """A caller leaves while it sends a request."""

    def test_no_part_reaches_a_server(self, servers: Servers) -> None:
        """Only the complete request runs, and runs once."""
        server = servers.by_service['archive']
        head = (
            f'POST {NON_IDEMPOTENT_PREFIX}7 HTTP/1.1\r\nHost: {HOST}\r\n'
            'X-Request-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 2000\r\n'
            'Content-Length: 9\r\n\r\n'
        ).encode()
        request = b'%s{"a": 10}' % head
        for truncated, ending in _cases(request):
            servers.send_part(truncated, ending)
        time.sleep(0.3)
        assert not server.requests
        answer = servers.send_request(f'{NON_IDEMPOTENT_PREFIX}8')
        assert (answer.status, len(server.requests)) == (_OK, 1)
