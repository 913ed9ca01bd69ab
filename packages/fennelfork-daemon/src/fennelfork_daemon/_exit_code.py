"""How a program that serves ends."""

import enum


@enum.unique
class ExitCode(enum.IntEnum):
    """The exit code of the process."""

    DONE = 0
    CANNOT_SERVE = 1
    BAD_SETTINGS = 2
