"""Command line of `fennelforkd`."""

from collections.abc import Callable, Sequence
from typing import Final

from fennelfork_daemon._cli import run_program
from fennelfork_daemon._program import Program
from fennelfork_daemon.settings._settings import load_settings
from fennelfork_daemon.settings._tables import Settings

_ABOUT: Final = """Serve queries of fennelfork as one daemon of a fleet.

Exit codes: 0 stopped gracefully; 1 could not serve, or a stop aborted requests;
2 bad usage or settings, nothing was started.

Example: fennelforkd --config fennelforkd.toml
"""


Serve = Callable[[Settings], int]


def run_command(tokens: Sequence[str], serve: Serve) -> int:
    """Run `fennelforkd` with command-line arguments.

    Args:
        tokens: command-line arguments without the program name.
        serve: function that serves until stopped and returns the exit code.

    Returns:
        Exit code of the process; 2 means that nothing was started.
    """
    program = Program(
        name='fennelforkd',
        about=_ABOUT,
        load=load_settings,
        serve=lambda settings, path: serve(settings),
    )
    return run_program(tokens, program)
