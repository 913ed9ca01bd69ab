"""Log of the share of a daemon in the limits of the fleet.

Guards against a sum of shares above 1 that no log shows.
"""

from collections.abc import Iterator

import pytest
import structlog
from daemon_builders_routes import FollowingDaemon, member

from fennelfork_daemon.routes import MemberUpdate
from fennelfork_daemon.routes._share_monitor import share_monitor


@pytest.fixture
def following() -> Iterator[FollowingDaemon]:
    """Yield a daemon that knows another one."""
    new_daemon = FollowingDaemon()
    new_daemon.apply_listing(MemberUpdate(member=member('vm-22')))
    yield new_daemon
    structlog.reset_defaults()


class TestShareMonitor:
    """A change is logged once, with the number of known daemons."""

    def test_changes(self, following: FollowingDaemon) -> None:
        """An unchanged share is not logged again."""
        shares = iter((0, 0.25, 0.25, 0))
        monitor = share_monitor(
            following.blackboard,
            following.fleet_reporter,
            lambda: next(shares),
        )
        for _ in range(4):
            monitor.step()
        lines = following.lines('limit_share_changed')
        logged = [(line['share'], line['daemons']) for line in lines]
        assert logged == [(0.25, 1), (0, 1)]
