"""The three listening sockets of a daemon."""

import json
import socket

import attrs

from fennelfork_daemon._settings_tables import ListenSettings
from fennelfork_daemon._wsgi_server import listening_address, open_listener


@attrs.frozen(kw_only=True)
class Listeners:
    """One listening socket for each face."""

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


def open_listeners(settings: ListenSettings) -> Listeners:
    """Open all faces.

    Raises:
        OSError: if an address cannot be bound; its `filename` names the face.
    """
    return Listeners(
        caller=open_listener(settings.caller),
        operator=open_listener(settings.operator),
        peer=open_listener(settings.peer),
    )
