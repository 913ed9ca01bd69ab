"""Start of the serving process: logs, sockets and the daemon."""

import sys

from returns.result import Failure

from fennelfork_daemon._daemon import daemon
from fennelfork_daemon._exit_code import ExitCode
from fennelfork_daemon._listeners import open_listeners
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.settings._tables import Settings


def serve(settings: Settings) -> int:
    """Serve as a daemon until the process is requested to stop.

    Returns:
        Exit code of the process.
    """
    configure_logs(settings.logs, sys.stderr)
    opened = open_listeners(settings.listen)
    if isinstance(opened, Failure):
        sys.stderr.write(f'{opened.failure()}\n')
        return int(ExitCode.CANNOT_SERVE)
    return daemon(settings, opened.unwrap()).serve()
