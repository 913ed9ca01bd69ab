"""Starts stand-in servers in the current process."""

from typing import Any, Final

import attrs
from eventlet import listen, spawn, wsgi

from fennelfork import system_clock
from fennelfork_bench.backend_server._app import BackendApp
from fennelfork_bench.backend_server._connection import (
    ConnectionProtocol,
    Listener,
    open_listener,
)
from fennelfork_bench.backend_server._control import ControlApp
from fennelfork_bench.backend_server._delivery import ReplyFaults
from fennelfork_bench.backend_server._reported_status import reported_status
from fennelfork_bench.backend_server._settings import ServerSettings
from fennelfork_bench.backend_server._state import server_state

_SOCKET_TIMEOUT_S: Final = 600
_MAX_CONNECTIONS: Final = 1024


@attrs.frozen(kw_only=True)
class Address:
    """Addresses of a server.

    Attributes:
        name: name of the server.
        address: address of the backend protocol, `ip:port`.
        control: address of the control interface, `ip:port`, which no fault
            affects.
    """

    name: str
    address: str
    control: str


def start_server(settings: ServerSettings) -> Address:
    """Start one server in green threads of the current process.

    Raises:
        ValueError: if the settings contain an invalid key range.
        OSError: if the address cannot be bound.
    """
    state = server_state(settings, system_clock())
    listener = open_listener(state)
    control = ControlApp(state=state, listener=listener)
    app = BackendApp(
        state=state,
        reported_status=reported_status(state),
        reply_faults=ReplyFaults(),
        control=control,
    )
    control_socket = listen(('127.0.0.1', 0))
    spawn(listener.accept_connections)
    spawn(_serve, listener, app, ConnectionProtocol)
    spawn(_serve, control_socket, control, wsgi.HttpProtocol)
    return Address(
        name=settings.name,
        address=_address_of(listener),
        control=_address_of(control_socket),
    )


def _serve(listening: Any, app: Any, protocol: Any) -> None:
    wsgi.server(
        listening,
        app,
        protocol=protocol,
        max_size=_MAX_CONNECTIONS,
        socket_timeout=_SOCKET_TIMEOUT_S,
        log_output=False,
    )


def _address_of(listening: Listener) -> str:
    host, port = listening.getsockname()
    return f'{host}:{port}'
