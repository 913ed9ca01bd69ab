"""The command line of `fennelforkd`."""

import importlib
import pathlib
from collections.abc import Sequence
from typing import Final

from fennelfork_daemon._settings_file import Serve, serve_file

_CONFIG: Final = '--config'


def run_command(tokens: Sequence[str], serve: Serve) -> int:
    """Run `fennelforkd` with the words after its name.

    The usual start is understood here, so that a serving daemon does not
    keep the command-line library in memory (3 MB).

    Args:
        tokens: the words of the command line.
        serve: serves until stopped and gives the exit code.

    Returns:
        The exit code; nothing was started if it is 2.
    """
    if len(tokens) == 2 and tokens[0] == _CONFIG:
        return serve_file(pathlib.Path(tokens[1]), serve)
    command_line = importlib.import_module('fennelfork_daemon._cli_app')
    found = command_line.run_app(tokens)
    if isinstance(found, pathlib.Path):
        return serve_file(found, serve)
    return int(found)
