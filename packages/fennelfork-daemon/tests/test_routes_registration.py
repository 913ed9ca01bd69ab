"""Registration of a route daemon in the store.

Guards against a registration that ends while the daemon serves, and against a
daemon that registers before it is ready.
"""

from collections.abc import Iterator

import pytest
import structlog
from daemon_builders_routes import (
    STORE_UNAVAILABLE,
    FollowingDaemon,
    table,
)
from returns.result import Failure as Bad
from returns.result import Success

from fennelfork_daemon.routes import ConfigUpdate


@pytest.fixture
def following() -> Iterator[FollowingDaemon]:
    """Yield a daemon that has read the store once."""
    new_daemon = FollowingDaemon()
    new_daemon.apply_listing(ConfigUpdate(table=table(3)))
    yield new_daemon
    structlog.reset_defaults()


class TestRegistration:
    """Registration of this daemon."""

    def test_unready_daemon(self) -> None:
        """A daemon without a configuration does not register."""
        new_daemon = FollowingDaemon()
        new_daemon.registration.step()
        assert not new_daemon.store.calls
        assert new_daemon.registration.delay_ms < 100
        new_daemon.apply_listing(ConfigUpdate(table=table(3)))
        assert new_daemon.registration.delay_ms == 1400
        structlog.reset_defaults()

    def test_expired_lease(self, following: FollowingDaemon) -> None:
        """An expired lease is replaced; a failed renewal is only repeated."""
        following.registration.step()
        following.store.renewals = [
            Bad(STORE_UNAVAILABLE),
            Success(False),
            Success(True),
        ]
        for _ in range(3):
            following.registration.step()
        kinds = [
            call[0] for call in following.store.calls if call[0] != 'list_all'
        ]
        assert kinds == [
            'open_lease',
            'register',
            'renew',
            'renew',
            'open_lease',
            'register',
            'renew',
        ]

    def test_lost_renewal(self, following: FollowingDaemon) -> None:
        """A lost renewal is repeated before the lease expires.

        A call without a response takes 650 ms.
        """
        following.registration.step()
        to_renewal_ms = following.registration.delay_ms
        following.store.renewals = [Bad(STORE_UNAVAILABLE)]
        following.registration.step()
        to_retry_ms = following.registration.delay_ms
        ttl_ms = following.lines('lease_granted')[0]['ttl_ms']
        assert to_renewal_ms + 650 + to_retry_ms < ttl_ms - 200

    def test_refused_renewals(self, following: FollowingDaemon) -> None:
        """Two renewals that are refused do not end the registration."""
        following.registration.step()
        elapsed_ms = following.registration.delay_ms
        following.store.renewals = [Bad(STORE_UNAVAILABLE) for _ in range(2)]
        for _ in range(2):
            following.registration.step()
            elapsed_ms += following.registration.delay_ms
        assert elapsed_ms < following.lines('lease_granted')[0]['ttl_ms']

    def test_leaving_daemon(self, following: FollowingDaemon) -> None:
        """A leaving daemon is not ready and does not register."""
        following.registration.leave()
        following.registration.step()
        assert not following.blackboard.is_ready
        assert following.store.calls == [('list_all', 400)]
