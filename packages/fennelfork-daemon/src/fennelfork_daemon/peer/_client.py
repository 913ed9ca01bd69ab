"""Client of the peer RPC with pooled thrift connections."""

import socket
from typing import Any, Final

import attrs
from returns.result import Failure as Bad
from returns.result import Result, Success
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TClient, TException
from thriftpy2.transport.framed import TCyFramedTransport
from thriftpy2.transport.socket import TSocket
from urllib3.util import wait_for_read

from fennelfork import Failure, FailureCode, may_have_run, not_run
from fennelfork_daemon._address import address as read_address
from fennelfork_daemon._sockets import set_no_delay
from fennelfork_daemon.peer._idl import peer

_MS_PER_S: Final = 1000
_MAX_IDLE_CONNECTIONS: Final = 16


@attrs.define(kw_only=True)
class _Connection:
    client: TClient
    transport: TCyFramedTransport
    sock: socket.socket

    @property
    def is_open(self) -> bool:
        """Whether the peer has neither closed the connection nor sent data."""
        return not wait_for_read(self.sock, timeout=0)

    def set_timeout(self, timeout_ms: float) -> None:
        """Set the timeout of each socket operation."""
        self.sock.settimeout(timeout_ms / _MS_PER_S)


@attrs.define(kw_only=True)
class PeerClient:
    """Calls daemons by address and pools idle connections to each daemon.

    A connection carries one call at a time. The client closes a connection
    after a failure, because the next call could otherwise read the late reply
    to the failed call.
    """

    _idle: dict[str, list[_Connection]] = attrs.field(factory=dict)

    def call(
        self,
        address: str,
        method: str,
        request: object,
        timeout_ms: float,
    ) -> Result[Any, Failure]:
        """Call a method of another daemon.

        Args:
            address: peer RPC address of the other daemon, `ip:port`.
            method: name of a method of the service in `peer.thrift`.
            request: thrift message that the method takes.
            timeout_ms: timeout of each socket operation.

        Returns:
            The reply, or a failure. The verdict of the failure is `NOT_RUN`
            only if no connection was opened.
        """
        if timeout_ms <= 0:
            return Bad(
                not_run(
                    FailureCode.DEADLINE, 'the deadline passed before the call'
                )
            )
        try:
            connection = self._acquire(address, timeout_ms)
        except OSError as error:
            return Bad(_unreachable_failure(address, error))
        return self._exchange(connection, address, method, request)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a daemon."""
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
            self.close_idle(address)
            return Bad(_no_reply_failure(address, error))
        self._release(address, connection)
        return Success(reply)

    def _acquire(self, address: str, timeout_ms: float) -> _Connection:
        connection = self._pop_idle(address) or _connect(address, timeout_ms)
        connection.set_timeout(timeout_ms)
        return connection

    def _pop_idle(self, address: str) -> _Connection | None:
        """Return an idle connection that the other daemon keeps open."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
            connection.transport.close()
        return None

    def _release(self, address: str, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) < _MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.transport.close()


def _connect(address: str, timeout_ms: float) -> _Connection:
    target = read_address(address)
    sock = socket.create_connection(
        (target.host, target.port),
        timeout=timeout_ms / _MS_PER_S,
    )
    set_no_delay(sock)
    transport = TCyFramedTransport(TSocket(sock=sock))
    client = TClient(peer.Peer, TCyBinaryProtocol(transport))
    return _Connection(client=client, transport=transport, sock=sock)


def _unreachable_failure(address: str, error: Exception) -> Failure:
    return not_run(
        FailureCode.UNREACHABLE,
        f'daemon {address} cannot be reached: {error}',
    )


def _no_reply_failure(address: str, error: Exception) -> Failure:
    return may_have_run(
        FailureCode.UNREACHABLE,
        f'daemon {address} sent no reply: {error}',
    )
