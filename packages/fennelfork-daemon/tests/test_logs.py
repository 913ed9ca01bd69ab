"""Tests of the state log and the log configuration."""

import io
import json
import subprocess
import sys

import pytest
import structlog

from fennelfork_daemon.logs._logs import configure_logs, state_log
from fennelfork_daemon.settings._log_settings import (
    LogFormat,
    LogLevel,
    LogSettings,
)


@pytest.fixture(autouse=True)
def _reset_structlog() -> None:
    structlog.reset_defaults()


def _lines(settings: LogSettings, states: str) -> list[str]:
    stream = io.StringIO()
    configure_logs(settings, stream)
    log = state_log(daemon='vm-1')
    for state in states.split():
        log.change('platform', state, config_version=4)
    return stream.getvalue().splitlines()


class TestStateLog:
    """Log lines of state changes."""

    def test_unchanged_state_writes_nothing(self) -> None:
        """An unchanged state is logged once, with all values."""
        lines = _lines(LogSettings(), 'up up down down up')
        assert len(lines) == 3
        line = json.loads(lines[1])
        assert line.pop('timestamp').endswith('Z')
        assert line == {
            'event': 'state changed',
            'level': 'info',
            'daemon': 'vm-1',
            'subject': 'platform',
            'state': 'down',
            'config_version': 4,
        }

    def test_evicts_the_oldest_subject(self) -> None:
        """Subjects are limited; an evicted subject is logged again."""
        configure_logs(LogSettings(), io.StringIO())
        log = state_log()
        for index in range(1025):
            assert log.change(f'server {index}', 'up')
        assert log.change('server 0', 'up')
        assert not log.change('server 1024', 'up')


class TestConfigureLogs:
    """Format and level of log lines."""

    def test_console(self) -> None:
        """The console format is plain text without escape codes."""
        lines = _lines(LogSettings(format=LogFormat.CONSOLE), 'up')
        assert 'state=up' in lines[0]
        assert '\x1b' not in lines[0]

    def test_level(self) -> None:
        """Lines below the configured level are not written."""
        assert not _lines(LogSettings(level=LogLevel.ERROR), 'up down')

    def test_does_not_import_rich(self) -> None:
        """The log module does not import rich, which uses memory."""
        code = (
            'import fennelfork_daemon.logs._logs, sys; '
            'sys.exit("rich" in sys.modules)'
        )
        assert subprocess.run([sys.executable, '-c', code]).returncode == 0
