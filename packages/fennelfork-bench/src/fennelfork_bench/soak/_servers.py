"""Backend stand-ins under test: their orders and their logs."""

from collections.abc import Iterator
from typing import Any, Final

from fennelfork_bench.backend_server import _history as backend_history
from fennelfork_bench.history._event import Event
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process, RigError

_GONE_S: Final = 1


def order(server: Process, what: str, body: dict[str, Any]) -> None:
    """Give an order on the control face, which no fault touches.

    A server that another fault kills meanwhile needs no order.

    Args:
        server: the stand-in.
        what: `faults`, `snapshot` or `drain`.
        body: the order.

    Raises:
        RigError: if the stand-in refused it.
    """
    path = f'/control/{what}'
    reply = http.post(server.ready['control'], path, body)
    if not reply.fine and server.wait(_GONE_S) is None:
        raise RigError(f'{server.name} refused {what}: {reply}')


def server_events(server: Process) -> Iterator[Event]:
    """Read the log of a stand-in as events.

    Raises:
        RigError: if the log is gone, or dropped events.
    """
    reply = http.get(server.ready['control'], '/control/log')
    if not reply.fine or reply.body['dropped']:
        raise RigError(f'no whole log of {server.name}: {reply.fault}')
    yield from backend_history.server_events(reply.body)
