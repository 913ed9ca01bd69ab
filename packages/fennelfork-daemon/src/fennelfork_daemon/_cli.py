"""The command line of a program that serves by a settings file."""

import importlib
import pathlib
from collections.abc import Sequence
from typing import Final

from fennelfork_daemon._program import Program

_CONFIG: Final = '--config'


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
