"""Calls of the store over connections that something between has lost."""

import socket
import threading
from collections.abc import Iterator

import attrs
import pytest
from returns.pipeline import is_successful

from fennelfork import system_clock
from fennelfork_daemon._address import Address
from fennelfork_platform._store_calls import StoreCalls, store_calls

_REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
_SHORT_MS = 200


@attrs.define
class OneTrackStore:
    """Answers each connection until all of them are lost; new ones work.

    Two calls that come together are answered together, so that they take a
    connection each.
    """

    _listener: socket.socket
    _lost: threading.Event = attrs.field(factory=threading.Event)
    _together: threading.Barrier = attrs.field(
        factory=lambda: threading.Barrier(2),
    )

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return Address(host=host, port=port)

    def run(self) -> None:
        """Take connections until it is closed."""
        while True:
            try:
                connection, _peer = self._listener.accept()
            except OSError:
                return
            is_new = self._lost.is_set()
            _start(self._serve, connection, is_new)

    def lose_all(self) -> None:
        """Answer nothing any more on the connections that there are."""
        self._lost.set()

    def _serve(self, connection: socket.socket, is_new: bool) -> None:
        while connection.recv(65_536):
            if not is_new and self._lost.is_set():
                continue
            if not is_new:
                self._together.wait(5)
            connection.sendall(_REPLY)


@pytest.fixture
def store() -> Iterator[OneTrackStore]:
    """Give a store that listens."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        made = OneTrackStore(listener)
        _start(made.run)
        yield made


class TestLostConnections:
    """All open connections fall silent at once; none is reset."""

    def test_one_call_finds_out(self, store: OneTrackStore) -> None:
        """The next call takes a new connection, not one as old."""
        calls = store_calls(store.address, system_clock())
        both = [_start(_ask, calls), _start(_ask, calls)]
        for thread in both:
            thread.join(5)
        store.lose_all()
        assert not is_successful(calls.get('/', _SHORT_MS))
        assert is_successful(calls.get('/', _SHORT_MS))


def _ask(calls: StoreCalls) -> None:
    assert is_successful(calls.get('/', 5000))


def _start(run: object, *arguments: object) -> threading.Thread:
    thread = threading.Thread(target=run, args=arguments, daemon=True)
    thread.start()
    return thread
