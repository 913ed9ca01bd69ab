"""Log of the share of a daemon in the limits of the fleet.

Guards against a sum of shares above 1 that no log shows.
"""

from collections.abc import Iterator

import pytest
import structlog
from daemon_builders_routes import FollowingDaemon, member, table
from returns.result import Success

from fennelfork_daemon.routes import ConfigUpdate, MemberUpdate
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


class TestShare:
    """A daemon that is registered and follows the store has a share."""

    def follow(self, following: FollowingDaemon, seconds: int) -> None:
        """Renew the lease and read the store each second."""
        for _ in range(seconds):
            following.time.advance(1000)
            following.store.renewals.append(Success(True))
            following.registration.step()
            following.apply_updates()

    def test_after_settling(self, following: FollowingDaemon) -> None:
        """Not before all others know it, nor while the store is silent."""
        share = following.blackboard.fleet_shares.retries
        following.apply_updates(ConfigUpdate(table=table(1)))
        following.registration.step()
        self.follow(following, 12)
        assert share.share == 0
        self.follow(following, 2)
        assert share.share == pytest.approx(0.5)
        following.time.advance(3001)
        assert share.share == 0

    def test_lost_lease(self, following: FollowingDaemon) -> None:
        """A daemon whose lease has ended settles again."""
        share = following.blackboard.fleet_shares.retries
        following.apply_updates(ConfigUpdate(table=table(1)))
        following.registration.step()
        self.follow(following, 14)
        following.store.renewals.append(Success(False))
        following.registration.step()
        self.follow(following, 12)
        assert share.share == 0
        self.follow(following, 2)
        assert share.share > 0
