"""The binary `fennelfork`."""

import sys
from collections.abc import Sequence

from cyclopts import CycloptsError

from fennelfork_cli._app import app
from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._toml_file import UsageError


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(tokens: Sequence[str]) -> int:
    """Run one command.

    Args:
        tokens: the words after the command's name.

    Returns:
        The exit code; 2 for what the command line does not understand.
    """
    try:
        code = app(tokens, exit_on_error=False)
    except CycloptsError:
        return int(ExitCode.BAD_USAGE)
    except UsageError as err:
        sys.stderr.write(f'{err}\n')
        return int(ExitCode.BAD_USAGE)
    return int(code or 0)


if __name__ == '__main__':
    main()
