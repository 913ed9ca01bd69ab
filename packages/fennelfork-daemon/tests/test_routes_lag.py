"""Tests for the detection of scheduling lag."""

import time

import eventlet

from fennelfork import system_clock
from fennelfork.routes import AnswerDelays
from fennelfork_daemon.routes._lag import LagMonitor


class TestLagMonitor:
    """A late wake-up is reported, a punctual wake-up is not."""

    def test_busy_process(self) -> None:
        """Work that blocks the event loop is reported as lag."""
        reported: list[float] = []
        monitor = LagMonitor(
            clock=system_clock(),
            report_lag=reported.append,
        )
        thread = eventlet.spawn(monitor.run)
        eventlet.sleep(0.01)
        time.sleep(0.3)
        eventlet.sleep(0.02)
        thread.kill()
        assert len(reported) == 1
        assert 200 < reported[0] < 400

    def test_delays_of_answers(self) -> None:
        """A busy event loop is expected to delay the next answers as well."""
        delays = AnswerDelays()
        monitor = LagMonitor(
            clock=system_clock(),
            report_lag=[].append,
            answer_delays=delays,
        )
        thread = eventlet.spawn(monitor.run)
        eventlet.sleep(0.01)
        time.sleep(0.3)
        eventlet.sleep(0.02)
        thread.kill()
        assert delays.share_within(100) < 1
