"""The full command line of `fennelforkd`, with help and usage errors."""

import pathlib
from collections.abc import Sequence
from importlib import metadata
from typing import Final

from cyclopts import App, CycloptsError

from fennelfork_daemon._exit_code import ExitCode
from fennelfork_daemon._settings_file import check_file

_HELP: Final = """Serve queries of fennelfork as one daemon of a fleet.

Exit codes: 0 stopped gracefully; 1 could not serve, or a stop cut requests;
2 bad usage or settings, nothing was started.

Example: fennelforkd --config fennelforkd.toml
"""

_app: Final = App(
    name='fennelforkd',
    help=_HELP,
    help_format='plaintext',
    version=metadata.version('fennelfork-daemon'),
    result_action='return_value',
)


def run_app(tokens: Sequence[str]) -> pathlib.Path | int:
    """Understand the command line.

    Args:
        tokens: the words after the command's name.

    Returns:
        The settings file to serve by, or the exit code of what was done.
    """
    try:
        found = _app(tokens, exit_on_error=False)
    except CycloptsError:
        return int(ExitCode.BAD_SETTINGS)
    return int(ExitCode.DONE) if found is None else found


@_app.default
def _serve(*, config: pathlib.Path) -> pathlib.Path:
    """Serve until stopped; SIGTERM stops gracefully.

    Args:
        config: the settings file, TOML.
    """
    return config


@_app.command
def check(path: pathlib.Path, /) -> int:
    """Check a settings file, name all that is wrong, start nothing.

    Example: fennelforkd check fennelforkd.toml

    Args:
        path: the settings file, TOML.
    """
    return check_file(path)
