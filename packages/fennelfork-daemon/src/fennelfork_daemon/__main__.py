"""Entry point of the program `fennelforkd`."""

import sys

from fennelfork_daemon import _green  # noqa: F401  # must be the first import
from fennelfork_daemon._fennelforkd import run_command
from fennelfork_daemon._serve import serve


def main() -> None:
    """Run the command line and exit with the returned exit code."""
    sys.exit(run_command(sys.argv[1:], serve))


if __name__ == '__main__':
    main()
