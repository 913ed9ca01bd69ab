"""Starts stand-in servers inside this process."""

from typing import Any, Final

import attrs
from eventlet import listen, spawn, wsgi

from fennelfork import system_clock
from fennelfork_bench.backend_server._app import BackendApp
from fennelfork_bench.backend_server._connection import (
    LinkProtocol,
    Listener,
    open_listener,
)
from fennelfork_bench.backend_server._control import ControlApp
from fennelfork_bench.backend_server._delivery import Spoiler
from fennelfork_bench.backend_server._settings import ServerSettings
from fennelfork_bench.backend_server._state import server_state
from fennelfork_bench.backend_server._views import views

_SOCKET_TIMEOUT_S: Final = 600
_MAX_CONNECTIONS: Final = 1024


@attrs.frozen(kw_only=True)
class Address:
    """Where a server listens.

    Attributes:
        name: the name of its settings.
        address: its calls, `ip:port`.
        control: its control face, `ip:port`, which no fault touches.
    """

    name: str
    address: str
    control: str


def start_server(settings: ServerSettings) -> Address:
    """Start one server in green threads of this process.

    Raises:
        ValueError: if the settings name no valid range.
        OSError: if the address can't be listened on.
    """
    state = server_state(settings, system_clock())
    listener = open_listener(state)
    control = ControlApp(state=state, listener=listener)
    app = BackendApp(
        state=state,
        views=views(state),
        spoiler=Spoiler(),
        control=control,
    )
    control_socket = listen(('127.0.0.1', 0))
    spawn(listener.pump)
    spawn(_serve, listener, app, LinkProtocol)
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
