"""Client of membership probes.

Each probe opens a new connection: the probe then also checks that the daemon
accepts connections, is not affected by a broken pooled connection, and needs
no open connection to each daemon.
"""

import enum
import socket
from typing import Any, Final

import attrs
import eventlet
from returns.result import Failure as Bad
from returns.result import Result, Success
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TClient, TException
from thriftpy2.transport.framed import TCyFramedTransport
from thriftpy2.transport.socket import TSocket

from fennelfork_daemon._address import address as read_address
from fennelfork_daemon._sockets import set_no_delay
from fennelfork_daemon.peer._idl import peer

_MS_PER_S: Final = 1000
_NO_REPLY_ERRORS: Final = (OSError, TException, ValueError, eventlet.Timeout)


@enum.unique
class ProbeFailure(enum.Enum):
    """Reason why a probe failed."""

    REFUSED = 'refused'
    UNRESPONSIVE = 'silent'


@attrs.frozen(kw_only=True)
class ProbeClient:
    """Sends membership probes to other daemons."""

    def call(
        self,
        address: str,
        request: Any,
        timeout_ms: float,
    ) -> Result[Any, ProbeFailure]:
        """Send one probe over a new connection.

        Args:
            address: peer RPC address of the other daemon, `ip:port`.
            request: thrift message of the probe.
            timeout_ms: timeout of the connection, request and reply together.

        Returns:
            The thrift message of the ack, or the reason of the failure.
        """
        try:
            with eventlet.Timeout(timeout_ms / _MS_PER_S):
                return Success(_exchange(address, request))
        except ConnectionRefusedError:
            return Bad(ProbeFailure.REFUSED)
        except _NO_REPLY_ERRORS:
            return Bad(ProbeFailure.UNRESPONSIVE)


def _exchange(address: str, request: Any) -> Any:
    target = read_address(address)
    with socket.create_connection((target.host, target.port)) as connection:
        set_no_delay(connection)
        transport = TCyFramedTransport(TSocket(sock=connection))
        client = TClient(peer.Peer, TCyBinaryProtocol(transport))
        return client.probe(request)
