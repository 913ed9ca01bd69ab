"""Calls to other daemons, over pooled thrift connections."""

import socket
from typing import Any, Final

import attrs
from returns.result import Failure as Bad
from returns.result import Result, Success
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TClient, TException
from thriftpy2.transport.framed import TCyFramedTransport
from thriftpy2.transport.socket import TSocket

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork_daemon._address import address as read_address
from fennelfork_daemon._sockets import no_delay
from fennelfork_daemon.peer._idl import peer

_MS: Final = 1000
_MAX_IDLE: Final = 16


@attrs.define(kw_only=True)
class _Connection:
    client: TClient
    transport: TCyFramedTransport
    sock: socket.socket

    def set_timeout(self, timeout_ms: float) -> None:
        """Bound each wait on the socket."""
        self.sock.settimeout(timeout_ms / _MS)


@attrs.define(kw_only=True)
class PeerClient:
    """Calls daemons by address and keeps a few idle connections to each.

    A connection is used by one call at a time, and never again after a
    failure: a late reply on it would answer the next call.
    """

    _idle: dict[str, list[_Connection]] = attrs.field(factory=dict)

    def call(
        self,
        address: str,
        method: str,
        request: object,
        timeout_ms: float,
    ) -> Result[Any, Failure]:
        """Make one call.

        Args:
            address: the peer face of the other daemon, `ip:port`.
            method: a call of `peer.thrift`.
            request: its message.
            timeout_ms: how long to wait for the reply.

        Returns:
            The reply, or a failure that is `NOT_RUN` only when no connection
            could be opened.
        """
        if timeout_ms <= 0:
            return Bad(not_run(FailureCode.DEADLINE, 'no time left to call'))
        try:
            connection = self._take(address, timeout_ms)
        except OSError as error:
            return Bad(_unreachable(address, error))
        return self._exchange(connection, address, method, request)

    def forget(self, address: str) -> None:
        """Close the idle connections to one daemon."""
        for connection in self._idle.pop(address, []):
            connection.transport.close()

    def _exchange(
        self,
        connection: _Connection,
        address: str,
        method: str,
        request: object,
    ) -> Result[Any, Failure]:
        try:
            reply = getattr(connection.client, method)(request)
        except (TException, OSError) as error:
            connection.transport.close()
            self.forget(address)
            return Bad(_no_reply(address, error))
        self._keep(address, connection)
        return Success(reply)

    def _take(self, address: str, timeout_ms: float) -> _Connection:
        idle = self._idle.get(address)
        connection = idle.pop() if idle else _connect(address, timeout_ms)
        connection.set_timeout(timeout_ms)
        return connection

    def _keep(self, address: str, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) < _MAX_IDLE:
            idle.append(connection)
        else:
            connection.transport.close()


def _connect(address: str, timeout_ms: float) -> _Connection:
    target = read_address(address)
    sock = socket.create_connection(
        (target.host, target.port),
        timeout=timeout_ms / _MS,
    )
    no_delay(sock)
    transport = TCyFramedTransport(TSocket(sock=sock))
    client = TClient(peer.Peer, TCyBinaryProtocol(transport))
    return _Connection(client=client, transport=transport, sock=sock)


def _unreachable(address: str, error: Exception) -> Failure:
    return not_run(
        FailureCode.UNREACHABLE,
        f'daemon {address} cannot be reached: {error}',
    )


def _no_reply(address: str, error: Exception) -> Failure:
    return may_have_run(
        FailureCode.UNREACHABLE,
        f'daemon {address} gave no reply: {error}',
    )
