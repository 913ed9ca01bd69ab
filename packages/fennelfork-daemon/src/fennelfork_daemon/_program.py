"""A program that serves by a settings file, and what it says of the file."""

import pathlib
import sys
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure, Result

from fennelfork_daemon._exit_code import ExitCode

# The settings, or everything that is wrong with the file.
Loaded = Result[Any, tuple[Any, ...]]


@attrs.frozen(kw_only=True)
class Program:
    """One binary.

    Attributes:
        name: as it is called on a command line.
        about: what `--help` says.
    """

    name: str
    about: str
    _load: Callable[[pathlib.Path], Loaded]
    _serve: Callable[[Any, pathlib.Path], int]

    def serve_file(self, path: pathlib.Path) -> int:
        """Serve by a settings file, or say all that is wrong with it.

        Returns:
            The exit code of the process.
        """
        settings = self._load(path)
        if isinstance(settings, Failure):
            return _refuse(settings)
        return self._serve(settings.unwrap(), path)

    def check_file(self, path: pathlib.Path) -> int:
        """Check a settings file and start nothing."""
        settings = self._load(path)
        if isinstance(settings, Failure):
            return _refuse(settings)
        sys.stdout.write(f'{path}: good\n')
        return int(ExitCode.DONE)


def _refuse(settings: Loaded) -> int:
    for problem in settings.failure():
        sys.stderr.write(f'{problem}\n')
    return int(ExitCode.BAD_SETTINGS)
