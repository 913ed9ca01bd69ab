"""Listening sockets of a daemon."""

import errno
import json
from typing import Final

import attrs
from eventlet.green import socket
from returns.result import Failure, Result, Success

from fennelfork_daemon._address import Address
from fennelfork_daemon.http._wsgi_server import listening_address, open_listener
from fennelfork_daemon.settings._tables import ListenSettings

_REASONS: Final = {
    errno.EADDRINUSE: 'the address is already in use',
    errno.EADDRNOTAVAIL: 'this machine does not have that IP number',
    errno.EACCES: 'the port is not allowed for this user',
}


@attrs.frozen(kw_only=True)
class Listeners:
    """Listening sockets of the caller API, the operator API and the peer RPC."""

    caller: socket.socket
    operator: socket.socket
    peer: socket.socket

    @property
    def ready_line(self) -> str:
        """JSON line that a daemon prints when the daemon is ready to serve."""
        addresses = {
            'caller': str(listening_address(self.caller)),
            'operator': str(listening_address(self.operator)),
            'peer': str(listening_address(self.peer)),
        }
        return json.dumps({'ready': addresses})


def open_listeners(settings: ListenSettings) -> Result[Listeners, str]:
    """Open all three listening sockets, or none.

    Returns:
        Open sockets, or an error line with the setting and the reason.
    """
    opened: dict[str, socket.socket] = {}
    for name, listen_address in attrs.asdict(settings, recurse=False).items():
        listener = _open_named(name, listen_address)
        if isinstance(listener, Failure):
            _close_all(opened)
            return listener
        opened[name] = listener.unwrap()
    return Success(Listeners(**opened))


def _open_named(
    name: str, listen_address: Address
) -> Result[socket.socket, str]:
    try:
        return Success(open_listener(listen_address))
    except OSError as err:
        reason = _REASONS.get(err.errno or 0, str(err))
        return Failure(
            f'listen.{name}: cannot listen on {listen_address}: {reason}'
        )


def _close_all(opened: dict[str, socket.socket]) -> None:
    for listener in opened.values():
        listener.close()
