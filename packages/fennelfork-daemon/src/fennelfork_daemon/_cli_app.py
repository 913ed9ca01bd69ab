"""Full command-line parser of a program, with help and usage errors."""

import pathlib
from collections.abc import Sequence

import attrs
from cyclopts import App, CycloptsError

from fennelfork_daemon._exit_code import ExitCode
from fennelfork_daemon._program import Program
from fennelfork_daemon._version import VERSION


def run_app(tokens: Sequence[str], program: Program) -> int:
    """Parse command-line arguments and run the selected command.

    Args:
        tokens: command-line arguments without the program name.
        program: program to run.

    Returns:
        Exit code of the process.
    """
    commands = _Commands(program=program)
    app = App(
        name=program.name,
        help=program.about,
        help_format='plaintext',
        version=VERSION,
        result_action='return_value',
    )
    app.default(commands.serve)
    app.command(commands.check)
    try:
        exit_code = app(tokens, exit_on_error=False)
    except CycloptsError:
        return int(ExitCode.BAD_SETTINGS)
    return int(ExitCode.DONE) if exit_code is None else int(exit_code)


@attrs.frozen(kw_only=True)
class _Commands:
    """Commands of the command line."""

    _program: Program

    def serve(self, *, config: pathlib.Path) -> int:
        """Serve until stopped; SIGTERM stops gracefully.

        Args:
            config: the settings file, TOML.
        """
        return self._program.serve_file(config)

    def check(self, path: pathlib.Path, /) -> int:
        """Check a settings file, list all errors and start nothing.

        Example: check settings.toml

        Args:
            path: the settings file, TOML.
        """
        return self._program.check_file(path)
