"""Tests of the evidence that ends the drain of a backend server."""

import threading
import time
from collections.abc import Callable, Iterator

import pytest
from daemon_builders_once import FakeServer, fake_server, free_port

from fennelfork.servers import DrainState
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend._drain_monitor import drain_monitor

_TIMEOUT_S = 20
_OBSERVED_S = 1.0


@pytest.fixture
def server() -> Iterator[FakeServer]:
    """Run a fake backend server on the loopback interface."""
    with fake_server() as running:
        yield running


def _refused() -> DrainState:
    drain = DrainState()
    drain.record_refusal()
    return drain


def _start_monitor(
    port: int, drain: DrainState, is_current: Callable[[], bool]
) -> threading.Thread:
    address = Address(host='127.0.0.1', port=port)
    monitor = drain_monitor(address, drain, is_current)
    thread = threading.Thread(target=monitor.run, daemon=True)
    thread.start()
    return thread


class TestDrainMonitor:
    """Guard against a drain that ends too soon, or never."""

    def test_refused_connection_ends_the_drain(self) -> None:
        """A port without a listener proves that the process has ended."""
        drain = _refused()
        _start_monitor(free_port(), drain, lambda: True).join(_TIMEOUT_S)
        assert not drain.is_draining

    def test_false_health_does_not_end_the_drain(
        self, server: FakeServer
    ) -> None:
        """A server that reports to serve still drains; no request is sent."""
        drain = _refused()
        until_s = time.monotonic() + _OBSERVED_S
        monitor = _start_monitor(
            server.port, drain, lambda: time.monotonic() < until_s
        )
        monitor.join(_TIMEOUT_S)
        assert drain.is_draining
        assert not server.runs

    def test_confirmed_drain_ends_with_the_health_report(
        self, server: FakeServer
    ) -> None:
        """A health endpoint that confirmed the refusal also ends the drain."""
        server.state = 'draining'
        drain = _refused()
        monitor = _start_monitor(server.port, drain, lambda: True)
        time.sleep(_OBSERVED_S)
        assert drain.is_draining
        server.state = 'serving'
        monitor.join(_TIMEOUT_S)
        assert not drain.is_draining
