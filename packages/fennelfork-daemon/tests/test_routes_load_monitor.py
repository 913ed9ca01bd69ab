"""Publication of the overload of a daemon.

Guards against a daemon that asks for fewer callers without any other daemon
learning of it.
"""

import time
from collections.abc import Iterator

import attrs
import eventlet
import pytest
import structlog
from daemon_builders_routes import FollowingDaemon, member, table
from returns.result import Success

from fennelfork import manual_clock, system_clock
from fennelfork.routes import DaemonOverload
from fennelfork_daemon.routes import ConfigUpdate, MemberUpdate
from fennelfork_daemon.routes._load_monitor import (
    IdleTimer,
    LoadMonitor,
    install_idle_timer,
)


@pytest.fixture
def following() -> Iterator[FollowingDaemon]:
    """Yield a registered daemon with another one in its data centre."""
    new_daemon = FollowingDaemon()
    new_daemon.apply_listing(
        ConfigUpdate(table=table(3)), MemberUpdate(member=member('vm-22'))
    )
    new_daemon.registration.step()
    yield new_daemon
    structlog.reset_defaults()


@pytest.fixture
def monitor(following: FollowingDaemon) -> LoadMonitor:
    """Return the monitor of the daemon."""
    clock = manual_clock(following.time)
    return LoadMonitor(
        blackboard=following.blackboard,
        overload=DaemonOverload(clock=clock),
        timer=IdleTimer(clock=clock, poll=lambda seconds: []),
        clock=clock,
        reporter=following.fleet_reporter,
    )


class TestLoadMonitor:
    """The entry of the daemon shows an overload."""

    def test_overload_is_published(
        self, following: FollowingDaemon, monitor: LoadMonitor
    ) -> None:
        """The entry is written again, once, under the same lease."""
        for _ in range(6):
            monitor.record(1)
        following.store.renewals = [Success(True), Success(True)]
        following.registration.step()
        following.registration.step()
        assert following.blackboard.local.is_overloaded
        registrations = [
            call for call in following.store.calls if call[0] == 'register'
        ]
        entry = ('register', 'vm-1', 1)
        assert registrations == [entry, entry]
        lines = following.lines('load_changed')
        assert [line['overloaded'] for line in lines] == [True]
        assert lines[0]['busy_percent'] > 70

    def test_calm_daemon(
        self, following: FollowingDaemon, monitor: LoadMonitor
    ) -> None:
        """Nothing is written while the daemon is not overloaded."""
        for _ in range(20):
            monitor.record(0.4)
        following.store.renewals = [Success(True)]
        following.registration.step()
        kinds = [call[0] for call in following.store.calls]
        assert kinds.count('register') == 1

    def test_daemon_that_is_not_ready(
        self, following: FollowingDaemon, monitor: LoadMonitor
    ) -> None:
        """The work at the start of a daemon is no overload."""
        following.blackboard.table = None
        for _ in range(20):
            monitor.record(1)
        assert not following.blackboard.local.is_overloaded

    def test_own_entry_is_current(
        self, following: FollowingDaemon, monitor: LoadMonitor
    ) -> None:
        """The daemon does not count its own entry of before twice."""
        outdated = attrs.evolve(following.blackboard.local, incarnation=1)
        following.apply_updates(MemberUpdate(member=outdated))
        for _ in range(6):
            monitor.record(1)
        assert following.blackboard.local.is_overloaded


class TestIdleTimer:
    """The idle time of the event loop is measured."""

    def test_busy_event_loop(self) -> None:
        """Time in which the process sleeps is idle, other time is not."""
        listener = eventlet.listen(('127.0.0.1', 0))
        eventlet.spawn(listener.accept)
        eventlet.sleep(0)
        timer = install_idle_timer(system_clock())
        eventlet.sleep(0.1)
        assert timer.idle_ms > 60
        idle_ms = timer.idle_ms
        time.sleep(0.2)
        eventlet.sleep(0)
        assert timer.idle_ms - idle_ms < 60
