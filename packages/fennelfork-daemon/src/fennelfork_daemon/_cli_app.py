"""The full command line of a program, with help and usage errors."""

import pathlib
from collections.abc import Sequence
from importlib import metadata

from cyclopts import App, CycloptsError

from fennelfork_daemon._exit_code import ExitCode
from fennelfork_daemon._program import Program


def run_app(tokens: Sequence[str], program: Program) -> int:
    """Understand the command line and do what it says.

    Args:
        tokens: the words after the command's name.
        program: what is run.

    Returns:
        The exit code of the process.
    """
    try:
        found = _app(program)(tokens, exit_on_error=False)
    except CycloptsError:
        return int(ExitCode.BAD_SETTINGS)
    return int(ExitCode.DONE) if found is None else int(found)


def _app(program: Program) -> App:
    app = App(
        name=program.name,
        help=program.about,
        help_format='plaintext',
        version=metadata.version('fennelfork-daemon'),
        result_action='return_value',
    )

    @app.default
    def serve(*, config: pathlib.Path) -> int:  # noqa: WPS430
        """Serve until stopped; SIGTERM stops gracefully.

        Args:
            config: the settings file, TOML.
        """
        return program.serve_file(config)

    @app.command
    def check(path: pathlib.Path, /) -> int:  # noqa: WPS430
        """Check a settings file, name all that is wrong, start nothing.

        Example: fennelforkd check settings.toml

        Args:
            path: the settings file, TOML.
        """
        return program.check_file(path)

    return app
