"""Tests of store calls over connections that stop responding."""

import contextlib
import socket
import threading
from collections.abc import Iterator

import attrs
import pytest
from returns.pipeline import is_successful

from fennelfork import system_clock
from fennelfork_daemon._address import Address
from fennelfork_platform._store_client import StoreClient, store_client

_REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
_SHORT_MS = 200


@attrs.define
class StalledConnectionsStore:
    """Store whose open connections can be stalled; new connections work.

    Before the stall, responses are sent to two concurrent calls at a time, so
    that each call uses a separate connection.
    """

    _listener: socket.socket
    _stalled: threading.Event = attrs.field(factory=threading.Event)
    _first_calls: threading.Barrier = attrs.field(
        factory=lambda: threading.Barrier(2),
    )

    @property
    def address(self) -> Address:
        """The address of the listener."""
        host, port = self._listener.getsockname()
        return Address(host=host, port=port)

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _peer = self._listener.accept()
            except OSError:
                return
            is_new = self._stalled.is_set()
            _start(self._serve, connection, is_new)

    def stall_connections(self) -> None:
        """Stop responding on all open connections."""
        self._stalled.set()

    def _serve(self, connection: socket.socket, is_new: bool) -> None:
        # The client resets the connections of calls without a response.
        with contextlib.suppress(ConnectionResetError):
            while connection.recv(65_536):
                if not is_new and self._stalled.is_set():
                    continue
                if not is_new:
                    self._first_calls.wait(5)
                connection.sendall(_REPLY)


@pytest.fixture
def store() -> Iterator[StalledConnectionsStore]:
    """Yield a store that accepts connections."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        stalling_store = StalledConnectionsStore(listener)
        _start(stalling_store.run)
        yield stalling_store


class TestLostConnections:
    """All open connections stop responding without a reset."""

    def test_failed_call_closes_connections(
        self, store: StalledConnectionsStore
    ) -> None:
        """The call after a failed call uses a new connection."""
        client = store_client(store.address, system_clock())
        threads = [_start(_send_call, client), _start(_send_call, client)]
        for thread in threads:
            thread.join(5)
        store.stall_connections()
        assert not is_successful(client.get('/', _SHORT_MS))
        assert is_successful(client.get('/', _SHORT_MS))


def _send_call(client: StoreClient) -> None:
    assert is_successful(client.get('/', 5000))


def _start(target: object, *arguments: object) -> threading.Thread:
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread
