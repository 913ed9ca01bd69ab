"""Connections of a stand-in: limit, setup delay and loss of traffic."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import attrs
from eventlet import Timeout, listen, sleep, spawn, wsgi
from eventlet.queue import LightQueue

from fennelfork_bench.backend_server._engine import wait_while_frozen
from fennelfork_bench.backend_server._state import ServerState

CONNECTION_KEY: Final = 'fennelfork.link'
_MS_PER_SECOND: Final = 1000
_DISCARD_BYTES: Final = 65_536
_MAX_DISCARD_S: Final = 600


@attrs.define(kw_only=True, eq=False)
class ServerConnection:
    """One open connection of the server.

    Attributes:
        is_unresponsive: whether all bytes are dropped in both directions.
        closes_after_reply: whether the connection closes after the current
            reply.
    """

    _socket: Any
    is_unresponsive: bool = False
    closes_after_reply: bool = False

    def discard_input(self) -> None:
        """Discard all input without a response until the peer closes."""
        self.closes_after_reply = True
        with Timeout(_MAX_DISCARD_S, exception=False):
            while self._has_input():
                sleep(0)

    def _has_input(self) -> bool:
        try:
            return bool(self._socket.recv(_DISCARD_BYTES))
        except OSError:
            return False


@attrs.define(kw_only=True, eq=False)
class Listener:
    """A listening socket that enforces the connection limit of a server.

    The WSGI server uses the listener in place of a socket. A connection
    above the limit is closed before a byte is read; other connections become
    readable after `connect_ms`.
    """

    _socket: Any
    _state: ServerState
    _readable_sockets: LightQueue = attrs.field(factory=LightQueue)
    _open_connections: dict[Any, ServerConnection] = attrs.field(factory=dict)

    @property
    def family(self) -> int:
        """Address family of the socket, as the WSGI server requires."""
        return self._socket.family

    def getsockname(self) -> tuple[str, int]:
        """Return the address of the listening socket."""
        return self._socket.getsockname()

    def accept(self) -> tuple[Any, Any]:
        """Wait for the next readable connection."""
        return self._readable_sockets.get()

    def close(self) -> None:
        """Close the listening socket."""
        self._socket.close()

    def accept_connections(self) -> None:
        """Accept connections until the listening socket is closed."""
        for client_socket, address in self._accept_sockets():
            wait_while_frozen(self._state)
            if self._admit_connection():
                self._open_connections[address] = ServerConnection(
                    socket=client_socket
                )
                spawn(self._enqueue, client_socket, address)
            else:
                client_socket.close()

    def connection(self, address: Any) -> ServerConnection:
        """Return the open connection of a peer address."""
        return self._open_connections[address]

    def remove_connection(self, address: Any) -> None:
        """Remove a closed connection."""
        self._open_connections.pop(address)
        self._state.connections -= 1

    def drop_traffic(self) -> None:
        """Drop all bytes of the currently open connections."""
        for connection in self._open_connections.values():
            connection.is_unresponsive = True

    def _admit_connection(self) -> bool:
        state = self._state
        if state.connections >= state.settings.connections:
            state.connections_refused += 1
            return False
        state.connections += 1
        state.connections_peak = max(state.connections_peak, state.connections)
        return True

    def _accept_sockets(self) -> Iterator[tuple[Any, Any]]:
        with contextlib.suppress(OSError):
            yield from iter(self._socket.accept, None)

    def _enqueue(self, client_socket: Any, address: Any) -> None:
        sleep(self._state.settings.connect_ms / _MS_PER_SECOND)
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._readable_sockets.put((client_socket, address))


class ConnectionProtocol(wsgi.HttpProtocol):
    """HTTP protocol of one connection with injected connection faults."""

    def handle_one_request(self) -> None:
        """Handle one request and close the connection if a fault requires."""
        super().handle_one_request()
        if self._connection.closes_after_reply:
            self.close_connection = True

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the connection added."""
        return {**super().get_environ(), CONNECTION_KEY: self._connection}

    def finish(self) -> None:
        """Remove the connection from the listener."""
        self.server.socket.remove_connection(self.client_address)
        super().finish()

    @property
    def _connection(self) -> ServerConnection:
        return self.server.socket.connection(self.client_address)


def open_listener(state: ServerState) -> Listener:
    """Open a listener on the configured address."""
    host, _, port = state.settings.listen.rpartition(':')
    listening = listen((host, int(port)), backlog=1024)
    return Listener(socket=listening, state=state)
