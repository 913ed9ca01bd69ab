"""Exit codes that all subcommands share."""

import enum

from fennelfork import Verdict


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    BAD_USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    PARTIAL = 5


def exit_code_for(verdict: Verdict) -> ExitCode:
    """Return the exit code of a failure.

    `REFUSED` means that the request certainly did not run. A request that ran
    and whose outcome was lost is `UNKNOWN`: a script must not repeat it.
    """
    if verdict is Verdict.NOT_RUN:
        return ExitCode.REFUSED
    return ExitCode.UNKNOWN
