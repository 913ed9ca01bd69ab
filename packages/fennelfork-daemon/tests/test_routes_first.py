"""Tests of requests that arrive before the initial configuration.

Guards against rejected requests while the initial listing is in flight.
"""

from collections.abc import Iterator

import eventlet
import pytest
import structlog
from daemon_builders_routes import (
    FollowingDaemon,
    server,
    table,
)
from daemon_builders_store import STORE_UNAVAILABLE

from fennelfork import Clock, system_clock
from fennelfork_daemon.routes import ConfigUpdate, ServerUpdate
from fennelfork_daemon.routes._availability import StoreCall
from fennelfork_daemon.routes._initial_routes import InitialRoutes

_LISTING_DELAY_S = 0.05
_IMMEDIATE_MS = 20


@pytest.fixture
def new_daemon() -> Iterator[FollowingDaemon]:
    """Yield a daemon that has not read the store yet."""
    yield FollowingDaemon()
    structlog.reset_defaults()


class TestFirstRoutes:
    """Requests wait only while the initial listing is in flight."""

    def test_waits_for_initial_listing(
        self, new_daemon: FollowingDaemon
    ) -> None:
        """A request that arrives before the initial listing is served."""
        eventlet.spawn_after(
            _LISTING_DELAY_S,
            new_daemon.apply_listing,
            ConfigUpdate(table=table(3)),
        )
        routes = _initial_routes(new_daemon).wait()
        assert routes is not None
        assert routes.version == 3

    def test_store_unavailable(self, new_daemon: FollowingDaemon) -> None:
        """A request does not wait after the initial listing has failed."""
        new_daemon.availability.record_failure(
            StoreCall.LISTING, STORE_UNAVAILABLE
        )
        assert _wait_ms(new_daemon) < _IMMEDIATE_MS

    def test_no_configuration(self, new_daemon: FollowingDaemon) -> None:
        """A request does not wait if the store has no configuration."""
        new_daemon.apply_listing(ServerUpdate(server=server('i-1')))
        assert _wait_ms(new_daemon) < _IMMEDIATE_MS

    def test_known_configuration(self, new_daemon: FollowingDaemon) -> None:
        """A request does not wait if the configuration is known."""
        new_daemon.apply_listing(ConfigUpdate(table=table(3)))
        assert _wait_ms(new_daemon) < _IMMEDIATE_MS

    def test_wait_is_bounded(self, new_daemon: FollowingDaemon) -> None:
        """A request waits no longer than the timeout of the listing."""
        assert 350 < _wait_ms(new_daemon) < 800


def _initial_routes(new_daemon: FollowingDaemon) -> InitialRoutes:
    return InitialRoutes(
        blackboard=new_daemon.blackboard,
        availability=new_daemon.availability,
        clock=system_clock(),
    )


def _wait_ms(new_daemon: FollowingDaemon) -> float:
    clock: Clock = system_clock()
    started_ms = clock.now_ms()
    _initial_routes(new_daemon).wait()
    return clock.now_ms() - started_ms
