"""Probes of other daemons, each over a connection of its own.

A connection that is open may be silent for good while new ones work, and one
to each of some hundred daemons costs memory; so a probe opens its own, and
shows that the daemon still takes connections.
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
from fennelfork_daemon._sockets import no_delay
from fennelfork_daemon.peer._idl import peer

_MS: Final = 1000
_SILENCE: Final = (OSError, TException, ValueError, eventlet.Timeout)


@enum.unique
class ProbeFailure(enum.Enum):
    """How a probe failed."""

    REFUSED = 'refused'
    SILENT = 'silent'


@attrs.frozen(kw_only=True)
class ProbeClient:
    """Makes one probe call."""

    def call(
        self,
        address: str,
        request: Any,
        timeout_ms: float,
    ) -> Result[Any, ProbeFailure]:
        """Open a connection, make the call, close it.

        Args:
            address: the peer face of the other daemon, `ip:port`.
            request: the thrift message.
            timeout_ms: for all of it.

        Returns:
            The thrift message of the reply, or how it failed.
        """
        try:
            with eventlet.Timeout(timeout_ms / _MS):
                return Success(_exchange(address, request))
        except ConnectionRefusedError:
            return Bad(ProbeFailure.REFUSED)
        except _SILENCE:
            return Bad(ProbeFailure.SILENT)


def _exchange(address: str, request: Any) -> Any:
    target = read_address(address)
    with socket.create_connection((target.host, target.port)) as connection:
        no_delay(connection)
        transport = TCyFramedTransport(TSocket(sock=connection))
        client = TClient(peer.Peer, TCyBinaryProtocol(transport))
        return client.probe(request)
