"""Transfer of updates of the store between daemons, over HTTP on loopback.

Guards against updates that are lost or changed on the way, and against a daemon
that takes wrong bytes for updates.
"""

import json
import queue
import socket
import threading
from typing import Any

import attrs
import pytest
from platform_builders import raw_item, registration
from returns.result import Failure, Success

from fennelfork.routes import StorePosition, WatchTimeouts
from fennelfork_daemon._address import Address
from fennelfork_daemon.http._wsgi_protocol import ConnectionLimits
from fennelfork_daemon.http._wsgi_server import open_listener, serve_wsgi
from fennelfork_daemon.routes import (
    HistoryCompacted,
    RelayedBatch,
    ServerRemoved,
    ServerUpdate,
    UpdateBatch,
)
from fennelfork_platform._items import encode_event
from fennelfork_platform._relay import (
    PlatformRelays,
    platform_relays,
    relay_api,
)

_AFTER = StorePosition(revision=5)
_TIMEOUTS = WatchTimeouts(wait_ms=200, response_ms=500)
_MAX_CONNECTIONS = 10
_LIMITS = ConnectionLimits(
    header_bytes=4096, request_read_ms=1000, idle_ms=5000
)


@attrs.define(kw_only=True)
class FixedRelay:
    """Relay that returns a fixed reply and records the requests."""

    reply: RelayedBatch | HistoryCompacted
    requests: list[tuple[StorePosition, float]] = attrs.field(factory=list)

    def updates_after(
        self, position: StorePosition, wait_ms: float
    ) -> RelayedBatch | HistoryCompacted:
        """Return the reply."""
        self.requests.append((position, wait_ms))
        return self.reply


def _run_server(application: Any, addresses: 'queue.Queue[str]') -> None:
    listener = open_listener(Address(host='127.0.0.1', port=0))
    host, port = listener.getsockname()
    addresses.put(f'{host}:{port}')
    serve_wsgi(listener, application, _LIMITS, _MAX_CONNECTIONS)


def _serve(application: Any) -> str:
    """Serve an application in a thread and return its address."""
    addresses: queue.Queue[str] = queue.Queue()
    threading.Thread(
        target=_run_server, args=(application, addresses), daemon=True
    ).start()
    return addresses.get(timeout=5)


@attrs.frozen
class FixedResponse:
    """Application that returns a fixed response."""

    status: str
    body: bytes

    def __call__(self, environ: Any, start_response: Any) -> list[bytes]:
        """Return the response."""
        length = ('Content-Length', str(len(self.body)))
        start_response(self.status, [length])
        return [self.body]


@pytest.fixture
def client() -> PlatformRelays:
    """Return the client of a daemon."""
    return platform_relays()


def _batch(**changes: Any) -> RelayedBatch:
    events = [
        raw_item('servers/i-7', json.dumps(registration()).encode()),
        {'Key': 'servers/i-8', 'Revision': 8, 'Compacted': True},
    ]
    fields: dict[str, Any] = {
        'changes': UpdateBatch(
            updates=(),
            revision=9,
            encoded=tuple(map(encode_event, events)),
        ),
        'age_ms': 12.5,
        'is_connected': True,
        'outage_end_age_ms': None,
    }
    return RelayedBatch(**(fields | changes))


class TestTransfer:
    """Requests and replies between two daemons."""

    @pytest.mark.parametrize('era', [None, 0, 7])
    def test_era(self, client: PlatformRelays, era: int | None) -> None:
        """The era of the revision arrives, if the store states any."""
        relay = FixedRelay(reply=_batch())
        position = StorePosition(revision=5, era=era)
        client.fetch(_serve(relay_api(relay)), position, _TIMEOUTS)
        assert relay.requests == [(position, 200)]

    @pytest.mark.parametrize('outage_end_age_ms', [None, 40.0])
    def test_round_trip(
        self,
        client: PlatformRelays,
        outage_end_age_ms: float | None,
    ) -> None:
        """The updates, their age and the state of the sender arrive."""
        sent = _batch(outage_end_age_ms=outage_end_age_ms)
        relay = FixedRelay(reply=sent)
        received = client.fetch(
            _serve(relay_api(relay)), _AFTER, _TIMEOUTS
        ).unwrap()
        assert relay.requests == [(_AFTER, 200)]
        assert received.changes.encoded == sent.changes.encoded
        assert received.changes.revision == 9
        assert attrs.evolve(received, changes=sent.changes) == sent
        registered, removed = received.changes.updates
        assert isinstance(registered, ServerUpdate)
        assert removed == ServerRemoved(instance='i-8')

    def test_compacted(self, client: PlatformRelays) -> None:
        """A daemon that does not know the updates says so."""
        relay = FixedRelay(reply=HistoryCompacted())
        received = client.fetch(_serve(relay_api(relay)), _AFTER, _TIMEOUTS)
        assert received == Success(HistoryCompacted())

    def test_many_peers(self, client: PlatformRelays) -> None:
        """Connections to former relays are closed."""
        relay = FixedRelay(reply=_batch())
        peers = [_serve(relay_api(relay)) for _ in range(4)]
        for peer in peers:
            assert isinstance(client.fetch(peer, _AFTER, _TIMEOUTS), Success)


class TestWrongBytes:
    """Something else answers at the peer address."""

    @pytest.mark.parametrize(
        ('status', 'body'),
        [
            ('200 OK', b'not JSON'),
            ('200 OK', b'{}'),
            ('200 OK', b'[1, 2]'),
            ('200 OK', b'{"events": 5, "revision": 1}'),
            (
                '200 OK',
                b'{"events": [7], "revision": 1, "age_ms": 0, '
                b'"is_connected": true, "outage_end_age_ms": null}',
            ),
            ('404 Not Found', b'{}'),
            ('503 Service Unavailable', b''),
        ],
    )
    def test_invalid_reply(
        self,
        client: PlatformRelays,
        status: str,
        body: bytes,
    ) -> None:
        """The reply is a failure, and no update is applied."""
        assert isinstance(
            client.fetch(
                _serve(FixedResponse(status, body)), _AFTER, _TIMEOUTS
            ),
            Failure,
        )

    def test_nobody_listens(self, client: PlatformRelays) -> None:
        """A refused connection is a failure."""
        assert isinstance(
            client.fetch('127.0.0.1:1', _AFTER, _TIMEOUTS), Failure
        )

    @pytest.mark.parametrize(
        'query', ['', 'after=x&wait_ms=5', 'after=5', 'after=5&era=x&wait_ms=5']
    )
    def test_invalid_request(self, query: str) -> None:
        """A request without the numbers is rejected and not waited for."""
        relay = FixedRelay(reply=_batch())
        host, _, port = _serve(relay_api(relay)).rpartition(':')
        request = f'GET /updates?{query} HTTP/1.1\r\n\r\n'
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(request.encode())
            assert b' 400 ' in connection.recv(100)
        assert not relay.requests
