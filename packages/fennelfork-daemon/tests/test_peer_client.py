"""Tests of the client of the peer RPC over real sockets."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from returns.pipeline import is_successful
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TProcessor
from thriftpy2.transport.framed import TCyFramedTransport
from thriftpy2.transport.socket import TSocket

from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.peer._idl import peer

_TIMEOUT_S = 20
_TIMEOUT_MS = 5000


@attrs.define(kw_only=True)
class _OneCallServer:
    """Daemon that closes each connection after one call.

    Attributes:
        versions: versions in the requests that the daemon received.
        closed: event that is set after a connection was closed.
    """

    listener: socket.socket
    versions: list[int] = attrs.field(factory=list)
    closed: threading.Event = attrs.field(factory=threading.Event)

    @property
    def address(self) -> str:
        """Address of the peer RPC."""
        host, port = self.listener.getsockname()
        return f'{host}:{port}'

    def fetch_config(self, request: Any) -> Any:
        """Handle the peer RPC method `fetch_config`."""
        self.versions.append(request.have_version)
        return peer.ConfigReply(version=1)

    def serve(self) -> None:
        """Serve until the listening socket is closed."""
        processor = TProcessor(peer.Peer, self)
        with contextlib.suppress(OSError):
            for sock, _ in iter(self.listener.accept, None):
                transport = TCyFramedTransport(TSocket(sock=sock))
                protocol = TCyBinaryProtocol(transport)
                processor.process(protocol, protocol)
                transport.close()
                self.closed.set()


@pytest.fixture
def server() -> Iterator[_OneCallServer]:
    """Run a daemon that closes each connection after one call."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        started = _OneCallServer(listener=listener)
        threading.Thread(target=started.serve, daemon=True).start()
        yield started
        listener.shutdown(socket.SHUT_RDWR)


class TestPooledConnections:
    """Guard against calls on connections that the peer has closed."""

    def test_closed_connection_is_not_reused(
        self, server: _OneCallServer
    ) -> None:
        """A daemon that restarted answers the next call."""
        client = PeerClient()
        for version in (1, 2):
            server.closed.clear()
            request = peer.ConfigRequest(have_version=version)
            reply = client.call(
                server.address, 'fetch_config', request, _TIMEOUT_MS
            )
            assert is_successful(reply), reply
            assert server.closed.wait(_TIMEOUT_S)
        assert server.versions == [1, 2]
