"""Liveness check for a backend server after a lost connection."""

import socket
from typing import Final

import eventlet

from fennelfork_daemon._address import Address

_MS: Final = 1000
# A terminating process closes its connections before its listening socket.
_SHUTDOWN_DELAY_MS: Final = 20.0
# A lost VM does not respond, which proves nothing about the server process.
_CONNECT_TIMEOUT_MS: Final = 300.0


def has_server_crashed(server_address: Address) -> bool:
    """Whether the address of a backend server refuses new connections.

    A live server may also lose a connection before its response, through a
    network reset or a close. Only a refused connection proves that the
    process has ended; a timeout or an accepted connection does not.
    """
    eventlet.sleep(_SHUTDOWN_DELAY_MS / _MS)
    try:
        socket.create_connection(
            (server_address.host, server_address.port),
            _CONNECT_TIMEOUT_MS / _MS,
        ).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
