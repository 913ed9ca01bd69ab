"""Command line of a program that is configured by a settings file."""

import importlib
import pathlib
from collections.abc import Sequence
from typing import Final

from fennelfork_daemon._program import Program

_CONFIG: Final = '--config'


def run_program(tokens: Sequence[str], program: Program) -> int:
    """Run a program with command-line arguments.

    `--config PATH` is parsed here without the command-line library, which
    would otherwise stay in the memory of a serving daemon.

    Args:
        tokens: command-line arguments without the program name.
        program: program to run.

    Returns:
        Exit code of the process; 2 means that nothing was started.
    """
    if len(tokens) == 2 and tokens[0] == _CONFIG:
        return program.serve_file(pathlib.Path(tokens[1]))
    command_line = importlib.import_module('fennelfork_daemon._cli_app')
    return int(command_line.run_app(tokens, program))
