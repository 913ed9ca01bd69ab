"""Tests of the decision log and the non-blocking sink."""

import io
import json
import os

import structlog
from daemon_builders_routes import UnboundedOutput

from fennelfork import ManualTime, manual_clock
from fennelfork_daemon.logs._decision_log import decision_log
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.logs._sink import non_blocking_sink
from fennelfork_daemon.routes._events_servers import ServerGone
from fennelfork_daemon.routes._events_store import StoreLost
from fennelfork_daemon.settings._log_settings import LogSettings


class TestDecisionLog:
    """Rate limit of the decision log."""

    def test_rate_limit(self) -> None:
        """Suppressed lines are counted and reported in the next line."""
        stream = io.StringIO()
        configure_logs(LogSettings(), stream)
        time = ManualTime()
        counted: list[bool] = []
        log = decision_log(
            manual_clock(time),
            lambda event, logged, times: counted.append(logged),
            UnboundedOutput(),
            daemon='vm-1',
        )
        for _ in range(60):
            log.log_decision(StoreLost(call='lease', reason='r'))
        log.log_decision(ServerGone(server='s'))
        time.advance(1000)
        log.log_decision(StoreLost(call='lease', reason='r'))
        structlog.reset_defaults()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert len(lines) == 52
        assert lines[-1]['dropped_before'] == 10
        assert lines[-1]['daemon'] == 'vm-1'
        assert (counted.count(True), counted.count(False)) == (52, 10)


class TestNonBlockingSink:
    """A stalled or closed pipe does not block the daemon."""

    def test_full_pipe(self) -> None:
        """A full buffer drops lines, and the reader gets only whole lines."""
        reader, writer = os.pipe()
        sink = non_blocking_sink(writer)
        line = f'{"x" * 1023}\n'
        for _ in range(1000):
            sink.write(line)
            sink.flush()
        assert sink.dropped > 500
        received = b''
        os.set_blocking(reader, False)
        while chunk := _read(reader):
            received += chunk
            sink.flush()
        assert received == line.encode() * (1000 - sink.dropped)

    def test_closed_pipe(self) -> None:
        """A closed pipe drops lines without an exception."""
        reader, writer = os.pipe()
        os.close(reader)
        sink = non_blocking_sink(writer)
        sink.write('a line\n')
        sink.flush()
        assert sink.dropped == 1


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 65_536)
    except BlockingIOError:
        return b''
