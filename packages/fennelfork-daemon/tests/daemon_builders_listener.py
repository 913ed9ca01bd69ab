"""Base of the stand-in servers of tests, on the loopback interface."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Protocol, TypeVar

import attrs

from fennelfork_daemon._address import Address

_JOIN_TIMEOUT_S = 20


@attrs.define(kw_only=True)
class LoopbackListener:
    """Listener on a free port."""

    _listener: socket.socket = attrs.field(
        factory=lambda: socket.create_server(('127.0.0.1', 0))
    )

    @property
    def address(self) -> Address:
        """Address of the listener."""
        host, port = self._listener.getsockname()
        return Address(host=host, port=port)

    def accept_all(self) -> Iterator[socket.socket]:
        """Yield each accepted connection until the listener is closed."""
        with contextlib.suppress(OSError):
            while self._listener.fileno() >= 0:
                yield self._listener.accept()[0]

    def close(self) -> None:
        """Close the listener."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


class Server(Protocol):
    """Server that runs until it is closed."""

    def serve(self) -> None:
        """Serve connections until the server is closed."""

    def close(self) -> None:
        """Close the server."""


_Server = TypeVar('_Server', bound=Server)


@contextlib.contextmanager
def running(server: _Server) -> Iterator[_Server]:
    """Run a server for the duration of a test."""
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield server
    finally:
        server.close()
        thread.join(_JOIN_TIMEOUT_S)
