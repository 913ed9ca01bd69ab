"""Program that is configured by a settings file."""

import pathlib
import sys
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure, Result

from fennelfork_daemon._exit_code import ExitCode

# Settings, or all problems of the settings file.
Loaded = Result[Any, tuple[Any, ...]]


@attrs.frozen(kw_only=True)
class Program:
    """Program with a settings file and a serve function.

    Attributes:
        name: name of the program on the command line.
        about: description that `--help` prints.
    """

    name: str
    about: str
    _load: Callable[[pathlib.Path], Loaded]
    _serve: Callable[[Any, pathlib.Path], int]

    def serve_file(self, path: pathlib.Path) -> int:
        """Serve with a settings file, or print all problems of the file.

        Returns:
            Exit code of the process.
        """
        settings = self._load(path)
        if isinstance(settings, Failure):
            return _report_problems(settings)
        return self._serve(settings.unwrap(), path)

    def check_file(self, path: pathlib.Path) -> int:
        """Check a settings file without starting to serve."""
        settings = self._load(path)
        if isinstance(settings, Failure):
            return _report_problems(settings)
        sys.stdout.write(f'{path}: good\n')
        return int(ExitCode.DONE)


def _report_problems(settings: Loaded) -> int:
    for problem in settings.failure():
        sys.stderr.write(f'{problem}\n')
    return int(ExitCode.BAD_SETTINGS)
