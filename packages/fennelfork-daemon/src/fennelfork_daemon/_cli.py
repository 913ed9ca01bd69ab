"""The command line of a program that serves by a settings file."""

import importlib
import pathlib
from collections.abc import Callable, Sequence
from typing import Final

from fennelfork_daemon._program import Program
from fennelfork_daemon.settings._settings import load_settings
from fennelfork_daemon.settings._tables import Settings

_CONFIG: Final = '--config'
_ABOUT: Final = """Serve queries of fennelfork as one daemon of a fleet.

Exit codes: 0 stopped gracefully; 1 could not serve, or a stop cut requests;
2 bad usage or settings, nothing was started.

Example: fennelforkd --config fennelforkd.toml
"""

Serve = Callable[[Settings], int]


def run_command(tokens: Sequence[str], serve: Serve) -> int:
    """Run `fennelforkd` with the words after its name.

    Args:
        tokens: the words of the command line.
        serve: serves until stopped and gives the exit code.

    Returns:
        The exit code; nothing was started if it is 2.
    """
    program = Program(
        name='fennelforkd',
        about=_ABOUT,
        load=load_settings,
        serve=lambda settings, path: serve(settings),
    )
    return run_program(tokens, program)


def run_program(tokens: Sequence[str], program: Program) -> int:
    """Run a program with the words after its name.

    The usual start is understood here, so that a serving daemon does not
    keep the command-line library in memory (3 MB).

    Args:
        tokens: the words of the command line.
        program: what to check a settings file for, and to serve.

    Returns:
        The exit code; nothing was started if it is 2.
    """
    if len(tokens) == 2 and tokens[0] == _CONFIG:
        return program.serve_file(pathlib.Path(tokens[1]))
    command_line = importlib.import_module('fennelfork_daemon._cli_app')
    return int(command_line.run_app(tokens, program))
