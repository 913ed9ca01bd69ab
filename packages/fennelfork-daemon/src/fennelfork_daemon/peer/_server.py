"""Thrift server of the peer RPC."""

import contextlib
import socket
from typing import Final

import attrs
import eventlet
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TException, TProcessor
from thriftpy2.transport.framed import TCyFramedTransport
from thriftpy2.transport.socket import TSocket

from fennelfork_daemon._sockets import set_no_delay
from fennelfork_daemon.peer._idl import peer

_MAX_CONNECTIONS: Final = 2048


@attrs.define(kw_only=True)
class PeerServer:
    """Serves each connection of a listening socket in a green thread."""

    _listener: socket.socket
    _processor: TProcessor
    _pool: eventlet.GreenPool

    def serve(self) -> None:
        """Accept connections until the listening socket is closed."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            set_no_delay(sock)
            self._pool.spawn_n(self._serve_connection, sock)

    def close(self) -> None:
        """Stop accepting connections; open connections stay open."""
        self._listener.close()

    def _serve_connection(self, sock: socket.socket) -> None:
        transport = TCyFramedTransport(TSocket(sock=sock))
        protocol = TCyBinaryProtocol(transport)
        with contextlib.closing(transport):
            # The peer closed the connection or sent an invalid message.
            with contextlib.suppress(TException, OSError):
                self._serve_calls(protocol)

    def _serve_calls(self, protocol: TCyBinaryProtocol) -> None:
        while True:  # noqa: WPS457  # ends with an exception
            self._processor.process(protocol, protocol)


def peer_server(listener: socket.socket, handler: object) -> PeerServer:
    """Build the peer RPC server on a listening socket.

    Args:
        listener: listening socket.
        handler: object with a method for each method of the service in
            `peer.thrift`.
    """
    return PeerServer(
        listener=listener,
        processor=TProcessor(peer.Peer, handler),
        pool=eventlet.GreenPool(_MAX_CONNECTIONS),
    )
