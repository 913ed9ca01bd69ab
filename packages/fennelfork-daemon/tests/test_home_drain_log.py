"""Tests of the log lines about draining backend servers."""

import io
import json
import random

import pytest
import structlog
from daemon_builders_home import refuse_as_draining

from fennelfork import ManualTime, manual_clock
from fennelfork.home import (
    HomeScheduler,
    HomeSettings,
    ServerConfig,
    home_scheduler,
)
from fennelfork_daemon.home._drain_log import DrainLog
from fennelfork_daemon.logs._logs import configure_logs, state_log
from fennelfork_daemon.settings._log_settings import LogSettings


@pytest.fixture(autouse=True)
def _reset_structlog() -> None:
    structlog.reset_defaults()


@pytest.fixture
def home() -> HomeScheduler:
    """Return the scheduler of a shard with one server."""
    scheduler = home_scheduler(manual_clock(ManualTime()), random.Random(1))
    server = ServerConfig(name='raft-a', slots=1, connections=1)
    scheduler.servers.configure(HomeSettings(), [server])
    return scheduler


class TestDrainLog:
    """Guard against a server that stops receiving work without a log line."""

    def test_refusal(self, home: HomeScheduler) -> None:
        """The start of a drain is logged once; a serving server is not logged."""
        stream = io.StringIO()
        configure_logs(LogSettings(), stream)
        log = DrainLog(servers=home.servers, log=state_log(shard='low'))
        log.record('raft-a', 'health report')
        refuse_as_draining(home, 'raft-a')
        for _ in range(2):
            log.record('raft-a', 'refusal', attempt='low@1#vm-1.1')
        line = json.loads(stream.getvalue())
        assert line.pop('timestamp')
        assert line == {
            'event': 'state changed',
            'level': 'info',
            'shard': 'low',
            'subject': 'server raft-a',
            'state': 'draining',
            'evidence': 'refusal',
            'attempt': 'low@1#vm-1.1',
        }
