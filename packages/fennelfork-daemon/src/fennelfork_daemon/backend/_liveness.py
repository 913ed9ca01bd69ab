"""Whether a backend server whose connection ended is still there."""

import socket
from typing import Final

import eventlet

from fennelfork_daemon._address import Address

_MS: Final = 1000
# A process that ends closes its connections and its listening socket one after
# the other.
_SHUTDOWN_DELAY_MS: Final = 20.0
# Nobody answers at an address whose VM is gone; that says nothing of the server.
_CONNECT_TIMEOUT_MS: Final = 300.0


def has_ended(server_address: Address) -> bool:
    """Tell whether nobody listens at an address any more.

    A connection that ends before its answer is also one that was reset on the
    way, or that a server dropped which lives on. Only a VM that refuses a new
    one says that the process is gone; no answer, or one connection more, does
    not.
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
