"""Log lines, written only where a state changes."""

from typing import Any, Final, TextIO

import attrs

from fennelfork_daemon._left_out import asyncio_left_out, left_out
from fennelfork_daemon.settings._tables import LogFormat, LogSettings

_MOST_SUBJECTS: Final = 1024


# rich would cost 3.5 MB of memory.
with left_out('rich'), asyncio_left_out():
    import structlog


@attrs.define(kw_only=True)
class StateLog:
    """Remembers the state of each subject and logs only its changes.

    The oldest subject is forgotten when there are too many; its next line
    then repeats a state, which does no harm.
    """

    _logger: Any
    _states: dict[str, str] = attrs.field(factory=dict)

    def change(self, subject: str, state: str, **facts: Any) -> bool:
        """Log that a subject is in a state, if it was not before.

        Args:
            subject: what changed, such as `platform` or `server raft-a`.
            state: the state that it is in now.
            facts: what belongs to the change, such as `config_version` or
                `request_id`.

        Returns:
            Whether a line was written.
        """
        if self._states.get(subject) == state:
            return False
        self._states.pop(subject, None)
        if len(self._states) >= _MOST_SUBJECTS:
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
    """Set up structlog for the whole process.

    Args:
        settings: format and least severity.
        stream: where lines go; standard output is kept for the ready line.
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
        facts: what stands in each line, such as the daemon's name.
    """
    return StateLog(logger=structlog.get_logger(**facts))
