"""The command line of `fennelforkd`."""

import enum
import importlib
import pathlib
import sys
from collections.abc import Callable, Sequence
from typing import Any, Final

from returns.result import Failure, Result

from fennelfork_daemon.settings._problems import SettingProblem
from fennelfork_daemon.settings._settings import load_settings
from fennelfork_daemon.settings._tables import Settings

_CONFIG: Final = '--config'

Serve = Callable[[Settings], int]


@enum.unique
class ExitCode(enum.IntEnum):
    """How the process ends."""

    DONE = 0
    CANNOT_SERVE = 1
    BAD_SETTINGS = 2


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


def serve_file(path: pathlib.Path, serve: Serve) -> int:
    """Serve by a settings file, or say all that is wrong with it."""
    settings = load_settings(path)
    if isinstance(settings, Failure):
        return _refuse(settings)
    return serve(settings.unwrap())


def check_file(path: pathlib.Path) -> int:
    """Check a settings file and start nothing."""
    settings = load_settings(path)
    if isinstance(settings, Failure):
        return _refuse(settings)
    sys.stdout.write(f'{path}: good\n')
    return int(ExitCode.DONE)


def _refuse(settings: Result[Any, tuple[SettingProblem, ...]]) -> int:
    for problem in settings.failure():
        sys.stderr.write(f'{problem}\n')
    return int(ExitCode.BAD_SETTINGS)
