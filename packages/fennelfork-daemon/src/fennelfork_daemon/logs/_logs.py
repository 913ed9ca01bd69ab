"""Configuration of structlog, and a log of state changes."""

from typing import Any, Final, TextIO

import attrs

from fennelfork_daemon._blocked_imports import block_asyncio, block_import
from fennelfork_daemon.settings._log_settings import LogFormat, LogSettings

_MAX_SUBJECTS: Final = 1024


# structlog imports these libraries if present, which the daemon does not use:
# rich takes 3.5 MB of memory, colorama loads ctypes at each start.
with (
    block_import('rich'),
    block_import('colorama'),
    block_import('better_exceptions'),
    block_asyncio(),
):
    import structlog


@attrs.define(kw_only=True)
class StateLog:
    """Log of the state changes of subjects.

    The number of subjects is limited. After the eviction of the oldest
    subject, its unchanged state may be logged again.
    """

    _logger: Any
    _states: dict[str, str] = attrs.field(factory=dict)

    def change(self, subject: str, state: str, **facts: Any) -> bool:
        """Log the state of a subject if the state changed.

        Args:
            subject: name of the subject, such as `platform` or
                `server raft-a`.
            state: current state of the subject.
            facts: further values of the log line, such as `config_version`
                or `request_id`.

        Returns:
            True if a line was written.
        """
        if self._states.get(subject) == state:
            return False
        self._states.pop(subject, None)
        if len(self._states) >= _MAX_SUBJECTS:
            self._states.pop(next(iter(self._states)))
        self._states[subject] = state
        self._logger.info(
            'state changed',
            subject=subject,
            state=state,
            **facts,
        )
        return True


def configure_logs(settings: LogSettings, stream: TextIO) -> None:
    """Configure structlog for the whole process.

    Args:
        settings: format and minimum severity of log lines.
        stream: output of log lines; standard output is reserved for the
            ready line.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if settings.format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(
            colors=False,
            exception_formatter=structlog.dev.plain_traceback,
        )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            settings.level.value,
        ),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )


def state_log(**facts: Any) -> StateLog:
    """Build a log of state changes.

    Args:
        facts: values that each line contains, such as the daemon name.
    """
    return StateLog(logger=structlog.get_logger(**facts))
