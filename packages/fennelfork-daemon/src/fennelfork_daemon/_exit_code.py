"""Exit codes of a serving program."""

import enum


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit code of the process."""

    DONE = 0
    CANNOT_SERVE = 1
    BAD_SETTINGS = 2
