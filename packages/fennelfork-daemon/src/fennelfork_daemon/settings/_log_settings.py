"""Table of a settings file about the log.

The table is apart from the others, so that a daemon without a settings file of
this format imports few modules at the start.
"""

import enum

import attrs


@enum.unique
class LogFormat(enum.Enum):
    """Format of a log line."""

    JSON = 'json'
    CONSOLE = 'console'


@enum.unique
class LogLevel(enum.Enum):
    """Minimum severity of the log lines that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@attrs.frozen(kw_only=True)
class LogSettings:
    """Format and minimum severity of the log."""

    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFO
