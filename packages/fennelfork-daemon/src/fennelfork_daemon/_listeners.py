"""The three listening sockets of a daemon."""

import errno
import json
import sys
from typing import Final

import attrs
from eventlet.green import socket
from returns.result import Failure, Result, Success

from fennelfork_daemon._address import Address
from fennelfork_daemon.http._wsgi_server import listening_address, open_listener
from fennelfork_daemon.settings._tables import ListenSettings

_WORDS: Final = {
    errno.EADDRINUSE: 'the address is already in use',
    errno.EADDRNOTAVAIL: 'this machine does not have that IP number',
    errno.EACCES: 'the port is not allowed for this user',
}


@attrs.frozen(kw_only=True)
class Listeners:
    """The open sockets of the three faces."""

    caller: socket.socket
    operator: socket.socket
    peer: socket.socket

    @property
    def ready_line(self) -> str:
        """What a daemon prints once it serves."""
        addresses = {
            'caller': str(listening_address(self.caller)),
            'operator': str(listening_address(self.operator)),
            'peer': str(listening_address(self.peer)),
        }
        return json.dumps({'ready': addresses})

    def announce(self) -> None:
        """Write the ready line to standard output."""
        sys.stdout.write(f'{self.ready_line}\n')
        sys.stdout.flush()


def open_listeners(settings: ListenSettings) -> Result[Listeners, str]:
    """Open the sockets of all three faces, or none.

    Returns:
        The sockets, or one line that names the setting and the reason.
    """
    opened: dict[str, socket.socket] = {}
    for name, at in attrs.asdict(settings, recurse=False).items():
        listener = _open(name, at)
        if isinstance(listener, Failure):
            _close(opened)
            return listener
        opened[name] = listener.unwrap()
    return Success(Listeners(**opened))


def _open(name: str, at: Address) -> Result[socket.socket, str]:
    try:
        return Success(open_listener(at))
    except OSError as err:
        reason = _WORDS.get(err.errno or 0, str(err))
        return Failure(f'listen.{name}: cannot listen on {at}: {reason}')


def _close(opened: dict[str, socket.socket]) -> None:
    for listener in opened.values():
        listener.close()
