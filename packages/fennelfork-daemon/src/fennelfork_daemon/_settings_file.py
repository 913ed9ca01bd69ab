"""What the command line does with a settings file."""

import pathlib
import sys
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result

from fennelfork_daemon._exit_code import ExitCode
from fennelfork_daemon.settings._problems import SettingProblem
from fennelfork_daemon.settings._settings import load_settings
from fennelfork_daemon.settings._tables import Settings

Serve = Callable[[Settings], int]


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
