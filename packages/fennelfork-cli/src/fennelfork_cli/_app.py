"""Definition of the command line and its subcommands."""

import sys
from importlib import metadata
from typing import Final, Literal

from cyclopts import App

from fennelfork_cli._caller_commands import entries, execute, query
from fennelfork_cli._config_commands import config_app
from fennelfork_cli._explain import explain
from fennelfork_cli._fleet_commands import drain, front_app, members
from fennelfork_cli._workspace_commands import (
    show_key_fingerprint,
    workspaces,
)

_HELP: Final = """Operate a fennelfork fleet.

Exit codes: 0 done; 2 invalid usage; 3 refused, certainly not run; 4 unknown
whether the request ran; 5 partial. The environment variables
FENNELFORK_OPERATOR and FENNELFORK_CALLER replace --operator and --caller.

Example: fennelfork config patch --base 7 hedge.toml
"""

app: Final = App(
    name='fennelfork',
    help=_HELP,
    help_format='plaintext',
    version=metadata.version('fennelfork-cli'),
    result_action='return_value',
)
app.command(front_app)
app.command(config_app)
app.command(members)
app.command(workspaces)
app.command(show_key_fingerprint, name='key-fingerprint')
app.command(entries)
app.command(explain)
app.command(query)
app.command(execute)
app.command(drain)


@app.command
def completion(shell: Literal['bash', 'zsh', 'fish'], /) -> int:
    """Print a completion script for a shell.

    Example: fennelfork completion bash > ~/.bash_completion.d/fennelfork

    Args:
        shell: name of the shell.
    """
    sys.stdout.write(app.generate_completion(shell=shell))
    return 0
