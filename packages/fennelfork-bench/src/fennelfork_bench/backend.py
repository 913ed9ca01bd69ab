"""The stand-in backend server: `python -m fennelfork_bench.backend`."""

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
    """Serve one stand-in, or many in one process, until ended.

    Args:
        settings: settings of one server.
        servers: JSON file with a list of settings, one for each server of
            this process; it takes the place of the single settings.
    """
    wanted = read_settings(servers) if servers else (settings,)
    sys.stdout.write(ready_line([start_server(each) for each in wanted]))
    sys.stdout.flush()
    Event().wait()


def read_settings(path: pathlib.Path) -> tuple[ServerSettings, ...]:
    """Read the settings of many servers from a JSON file."""
    return cattrs.structure(
        json.loads(path.read_text()),
        tuple[ServerSettings, ...],
    )


def ready_line(addresses: list[Address]) -> str:
    """Write the line that says where the servers listen.

    The first server stands by itself, so that the line of a lone server is
    the one of the interface page; `servers` lists all of them.
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
    """Read the command line and serve."""
    run(serve)


if __name__ == '__main__':
    main()
