"""Backend server stand-in: `python -m fennelfork_bench.backend`."""

import json
import pathlib
import sys
from typing import Annotated, Any

import cattrs
from cyclopts import Parameter, run
from eventlet.event import Event

from fennelfork_bench.backend_server._server import Address, start_server
from fennelfork_bench.backend_server._settings import ServerSettings

_DEFAULTS = ServerSettings()


def serve(
    settings: Annotated[ServerSettings, Parameter(name='*')] = _DEFAULTS,
    *,
    servers: pathlib.Path | None = None,
) -> None:
    """Run one or more backend server stand-ins until the process is stopped.

    Args:
        settings: settings of a single server.
        servers: JSON file with a list of settings, one entry for each server
            of the process; replaces the single settings.
    """
    server_settings = read_settings(servers) if servers else (settings,)
    sys.stdout.write(
        format_ready_line([start_server(each) for each in server_settings])
    )
    sys.stdout.flush()
    Event().wait()


def read_settings(path: pathlib.Path) -> tuple[ServerSettings, ...]:
    """Read the settings of several servers from a JSON file."""
    return cattrs.structure(
        json.loads(path.read_text()),
        tuple[ServerSettings, ...],
    )


def format_ready_line(addresses: list[Address]) -> str:
    """Format the JSON line that announces the addresses of the servers.

    `address` and `control` belong to the first server, as the interface page
    documents for a single server; `servers` lists all servers.
    """
    first = addresses[0]
    ready: dict[str, Any] = {
        'address': first.address,
        'control': first.control,
        'servers': cattrs.unstructure(addresses),
    }
    line = json.dumps({'ready': ready})
    return f'{line}\n'


def main() -> None:
    """Parse the command line and run the servers."""
    run(serve)


if __name__ == '__main__':
    main()
