"""Connections of a stand-in: limit, cost of a new one, and silence."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import attrs
from eventlet import Timeout, listen, sleep, spawn, wsgi
from eventlet.queue import LightQueue

from fennelfork_bench.backend_server._engine import wait_until_thawed
from fennelfork_bench.backend_server._state import ServerState

LINK_KEY: Final = 'fennelfork.link'
_MS_PER_SECOND: Final = 1000
_DISCARD_BYTES: Final = 65_536
_HOLD_S: Final = 600


@attrs.define(kw_only=True, eq=False)
class Link:
    """One open connection as seen by the server.

    Attributes:
        silent: whether its bytes are lost, both ways, for good.
        cut: whether it is closed after the reply in progress.
    """

    _socket: Any
    silent: bool = False
    cut: bool = False

    def hold(self) -> None:
        """Swallow what arrives, and answer nothing, until the peer closes."""
        self.cut = True
        with Timeout(_HOLD_S, exception=False):
            while self._receives():
                sleep(0)

    def _receives(self) -> bool:
        try:
            return bool(self._socket.recv(_DISCARD_BYTES))
        except OSError:
            return False


@attrs.define(kw_only=True, eq=False)
class Listener:
    """A listening socket that keeps the connection limit of a server.

    The WSGI server takes it for a socket. A connection above the limit is
    closed before a byte is read; any other is handed on after `connect_ms`.
    """

    _socket: Any
    _state: ServerState
    _ready: LightQueue = attrs.field(factory=LightQueue)
    _links: dict[Any, Link] = attrs.field(factory=dict)

    @property
    def family(self) -> int:
        """The address family, which the WSGI server asks for."""
        return self._socket.family

    def getsockname(self) -> tuple[str, int]:
        """Give the address that it listens on."""
        return self._socket.getsockname()

    def accept(self) -> tuple[Any, Any]:
        """Wait for the next connection that may be read."""
        return self._ready.get()

    def close(self) -> None:
        """Close the listening socket."""
        self._socket.close()

    def pump(self) -> None:
        """Take connections off the listening socket until it is closed."""
        for connection, address in self._accepted():
            wait_until_thawed(self._state)
            if self._count_in():
                self._links[address] = Link(socket=connection)
                spawn(self._hand_on, connection, address)
            else:
                connection.close()

    def link(self, address: Any) -> Link:
        """Give the link of an open connection."""
        return self._links[address]

    def forget(self, address: Any) -> None:
        """Take note that a connection is closed."""
        self._links.pop(address)
        self._state.connections -= 1

    def silence(self) -> None:
        """Lose the bytes of all connections open now, both ways."""
        for link in self._links.values():
            link.silent = True

    def _count_in(self) -> bool:
        state = self._state
        if state.connections >= state.settings.connections:
            state.connections_refused += 1
            return False
        state.connections += 1
        state.connections_peak = max(state.connections_peak, state.connections)
        return True

    def _accepted(self) -> Iterator[tuple[Any, Any]]:
        with contextlib.suppress(OSError):
            yield from iter(self._socket.accept, None)

    def _hand_on(self, connection: Any, address: Any) -> None:
        sleep(self._state.settings.connect_ms / _MS_PER_SECOND)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._ready.put((connection, address))


class LinkProtocol(wsgi.HttpProtocol):
    """HTTP on one connection, which the application may hold or cut."""

    def handle_one_request(self) -> None:
        """Serve one request, then close the connection if it was cut."""
        super().handle_one_request()
        if self._link.cut:
            self.close_connection = True

    def get_environ(self) -> dict[str, Any]:
        """Give the WSGI environment together with the link."""
        return {**super().get_environ(), LINK_KEY: self._link}

    def finish(self) -> None:
        """Give the place of the connection back."""
        self.server.socket.forget(self.client_address)
        super().finish()

    @property
    def _link(self) -> Link:
        return self.server.socket.link(self.client_address)


def open_listener(state: ServerState) -> Listener:
    """Listen on the address of the settings."""
    host, _, port = state.settings.listen.rpartition(':')
    listening = listen((host, int(port)), backlog=1024)
    return Listener(socket=listening, state=state)
