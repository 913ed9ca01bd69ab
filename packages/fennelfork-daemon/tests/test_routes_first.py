"""Requests that come while a daemon reads its first configuration.

The pattern: after a loss of all power every caller comes back as soon as a
daemon listens, and each has one further try at most. The daemon listens at
once and knows its routes 25 to 100 ms later.
"""

from collections.abc import Iterator

import eventlet
import pytest
import structlog
from daemon_builders_routes import AWAY, Following, server, table

from fennelfork import Clock, system_clock
from fennelfork_daemon.routes import ConfigFact, ServerFact
from fennelfork_daemon.routes._contact import StoreCall
from fennelfork_daemon.routes._first_routes import FirstRoutes

_READ_S = 0.05
_AT_ONCE_MS = 20


@pytest.fixture
def starting() -> Iterator[Following]:
    """Give a daemon that has not read the store yet."""
    yield Following()
    structlog.reset_defaults()


class TestFirstRoutes:
    """Waiting for what is on its way, and for nothing else."""

    def test_waits_for_the_first_read(self, starting: Following) -> None:
        """A request that comes 50 ms too early is served."""
        eventlet.spawn_after(
            _READ_S,
            starting.take_list,
            ConfigFact(table=table(3)),
        )
        routes = _first_routes(starting).wait()
        assert routes is not None
        assert routes.version == 3

    def test_store_is_away(self, starting: Following) -> None:
        """Once the read has failed, there is nothing to wait for."""
        starting.contact.record_failure(StoreCall.LISTING, AWAY)
        assert _wait_ms(starting) < _AT_ONCE_MS

    def test_no_configuration(self, starting: Following) -> None:
        """Nor where the store holds none."""
        starting.take_list(ServerFact(server=server('i-1')))
        assert _wait_ms(starting) < _AT_ONCE_MS

    def test_known(self, starting: Following) -> None:
        """Later requests do not wait."""
        starting.take_list(ConfigFact(table=table(3)))
        assert _wait_ms(starting) < _AT_ONCE_MS

    def test_not_for_long(self, starting: Following) -> None:
        """A store that is silent is waited for as long as its first read."""
        assert 350 < _wait_ms(starting) < 800


def _first_routes(starting: Following) -> FirstRoutes:
    return FirstRoutes(
        board=starting.board,
        contact=starting.contact,
        clock=system_clock(),
    )


def _wait_ms(starting: Following) -> float:
    clock: Clock = system_clock()
    began_ms = clock.now_ms()
    _first_routes(starting).wait()
    return clock.now_ms() - began_ms
