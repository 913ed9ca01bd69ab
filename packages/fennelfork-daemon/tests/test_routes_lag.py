"""Whether a daemon notices that it falls behind."""

import time

import eventlet

from fennelfork import system_clock
from fennelfork_daemon.routes._lag import LagWatch


class TestLagWatch:
    """A look that comes late is noted, one in time is not."""

    def test_busy_process(self) -> None:
        """Work that lets nothing else run for a while is a lag."""
        noted: list[float] = []
        watch = LagWatch(
            clock=system_clock(),
            note=noted.append,
        )
        running = eventlet.spawn(watch.run)
        eventlet.sleep(0.01)
        time.sleep(0.3)
        eventlet.sleep(0.02)
        running.kill()
        assert len(noted) == 1
        assert 200 < noted[0] < 400
