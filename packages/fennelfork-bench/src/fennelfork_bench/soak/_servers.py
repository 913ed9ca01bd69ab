"""Control commands and logs of the backend stand-ins."""

from collections.abc import Iterator
from typing import Any, Final

from fennelfork_bench.backend_server import _history as backend_history
from fennelfork_bench.history._event import Event
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process, RigError

_EXIT_TIMEOUT_S: Final = 1


def send_control_command(
    server: Process, command: str, body: dict[str, Any]
) -> None:
    """Send a command to the control interface of a stand-in.

    Faults do not affect the control interface. The failure of a command to a
    server that another fault has killed is ignored.

    Args:
        server: process of the stand-in.
        command: `faults`, `snapshot` or `drain`.
        body: arguments of the command.

    Raises:
        RigError: if the stand-in refuses the command.
    """
    path = f'/control/{command}'
    reply = http.post(server.ready['control'], path, body)
    if not reply.is_success and server.wait(_EXIT_TIMEOUT_S) is None:
        raise RigError(f'{server.name} refused {command}: {reply}')


def server_events(server: Process) -> Iterator[Event]:
    """Yield the events in the log of a stand-in.

    Raises:
        RigError: if the log is unavailable or incomplete.
    """
    reply = http.get(server.ready['control'], '/control/log')
    if not reply.is_success or reply.body['dropped']:
        raise RigError(
            f'the log of {server.name} is not complete: {reply.fault}'
        )
    yield from backend_history.server_events(reply.body)
