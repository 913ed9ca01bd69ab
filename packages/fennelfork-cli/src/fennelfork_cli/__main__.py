"""Entry point of the command `fennelfork`."""

import sys
from collections.abc import Sequence

from cyclopts import CycloptsError

from fennelfork_cli._app import app
from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._toml_file import UsageError


def main() -> None:
    """Run the command line and exit with the code of the command."""
    sys.exit(run(sys.argv[1:]))


def run(tokens: Sequence[str]) -> int:
    """Run one command.

    Args:
        tokens: arguments of the command line.

    Returns:
        Exit code of the command; 2 for invalid arguments.
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
