"""Exit codes of the command, the same for each subcommand."""

import enum

from fennelfork import Verdict


@enum.unique
class ExitCode(enum.IntEnum):
    """What a script may conclude from the end of a command."""

    DONE = 0
    BAD_USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    PARTIAL = 5


def exit_code_of(verdict: Verdict) -> ExitCode:
    """Give the exit code of a failure.

    Only what certainly did not run is `REFUSED`. A request that ran and whose
    outcome was lost counts as `UNKNOWN`: a script must not repeat it.
    """
    if verdict is Verdict.NOT_RUN:
        return ExitCode.REFUSED
    return ExitCode.UNKNOWN
