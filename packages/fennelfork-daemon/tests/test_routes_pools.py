"""Connection pools of backend servers that move."""

import pytest
from daemon_builders_fleet import serve_response
from daemon_builders_routes import server
from returns.pipeline import is_successful

from fennelfork import system_clock
from fennelfork.routes import ConnectionShares, FleetMaximum
from fennelfork_daemon.backend._pool import ConnectionTrace
from fennelfork_daemon.backend._request import JsonRequest
from fennelfork_daemon.routes._pools import ServerPools

_HEALTH = JsonRequest(path='/health', body=None, timeout_ms=2000)


@pytest.fixture
def pools() -> ServerPools:
    """Return the pools of a daemon without connections."""
    clock = system_clock()
    limit_divisor = FleetMaximum(clock=clock, window_ms=10_000)
    return ServerPools(
        clock=clock, shares=ConnectionShares(limit_divisor=limit_divisor)
    )


class TestForServer:
    """Guard against connections to a former address of a server."""

    def test_server_keeps_its_pool(self, pools: ServerPools) -> None:
        """A change of other fields keeps the connections."""
        pool = pools.for_server(server('i-1'))
        assert pools.for_server(server('i-1', slots=2)) is pool

    def test_server_moves_under_its_name(self, pools: ServerPools) -> None:
        """Without a known start time, only the address shows the restart."""
        pools.for_server(server('i-1', address='127.0.0.1:1'))
        with serve_response(200, b'{}') as address:
            pool = pools.for_server(server('i-1', address=address))
            assert is_successful(pool.exchange(_HEALTH, ConnectionTrace()))
