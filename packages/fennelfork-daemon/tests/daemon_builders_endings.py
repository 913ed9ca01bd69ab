"""Builders of peers that end an HTTP message early, on real sockets."""

import contextlib
import enum
import socket
import struct

import attrs
from daemon_builders_listener import LoopbackListener, running

_TIMEOUT_S = 20
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_END_OF_HEADERS = b'\r\n\r\n'


@enum.unique
class Ending(enum.Enum):
    """Way in which a peer ends a message."""

    CLOSE = 'close'
    HALF_CLOSE = 'half-close'
    RESET = 'reset'
    SILENCE = 'silence'


@attrs.define(kw_only=True)
class CuttingServer(LoopbackListener):
    """Server that sends a part of its response to each request.

    Attributes:
        response: bytes of the response.
        ending: what follows the bytes of the response.
        requests: complete heads of the requests that arrived.
    """

    response: bytes = b''
    ending: Ending = Ending.CLOSE
    requests: list[bytes] = attrs.field(factory=list)
    _silent: list[socket.socket] = attrs.field(factory=list)

    def serve(self) -> None:
        """Serve connections until the listener is closed."""
        for accepted in self.accept_all():
            accepted.settimeout(_TIMEOUT_S)
            with contextlib.suppress(OSError):
                self._respond(accepted)

    def close(self) -> None:
        """Close the listener and the silent connections."""
        super().close()
        for accepted in self._silent:
            accepted.close()

    def _respond(self, accepted: socket.socket) -> None:
        request = b''
        while _END_OF_HEADERS not in request:
            received = accepted.recv(65_536)
            if not received:
                accepted.close()
                return
            request += received
        self.requests.append(request)
        accepted.sendall(self.response)
        if self.ending in {Ending.SILENCE, Ending.HALF_CLOSE}:
            self._silent.append(accepted)
        end_connection(accepted, self.ending)


def cutting_server() -> contextlib.AbstractContextManager[CuttingServer]:
    """Run a server for the duration of a test."""
    return running(CuttingServer())


def end_connection(connection: socket.socket, ending: Ending) -> None:
    """End a connection after the bytes that were sent."""
    if ending is Ending.HALF_CLOSE:
        connection.shutdown(socket.SHUT_WR)
    if ending is Ending.RESET:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    if ending in {Ending.CLOSE, Ending.RESET}:
        connection.close()


def truncations(message: bytes) -> list[bytes]:
    """Return the message truncated before each of its bytes."""
    return [message[:end] for end, _ in enumerate(message)]
