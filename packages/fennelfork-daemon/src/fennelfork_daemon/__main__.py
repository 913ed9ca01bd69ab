"""The binary `fennelforkd`."""

import pathlib
import sys

from returns.pipeline import is_successful

from fennelfork_daemon import _green  # noqa: F401  # before all else
from fennelfork_daemon._daemon import daemon
from fennelfork_daemon._logs import configure_logs
from fennelfork_daemon._settings import load_settings


def main() -> None:
    """Start a daemon with the settings file named on the command line."""
    settings = load_settings(pathlib.Path(sys.argv[-1]))
    if not is_successful(settings):
        for problem in settings.failure():
            sys.stderr.write(f'{problem}\n')
        sys.exit(2)
    configure_logs(settings.unwrap().logs, sys.stderr)
    sys.exit(daemon(settings.unwrap()).serve())


if __name__ == '__main__':
    main()
