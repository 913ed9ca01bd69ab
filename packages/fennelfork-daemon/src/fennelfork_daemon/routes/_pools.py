"""Connection pools of all backend servers."""

import attrs

from fennelfork import Clock, FailureCode
from fennelfork.routes import BackendServer, ConnectionShares
from fennelfork.servers import ConnectionLedger
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._pool import (
    BackendPool,
    FullPoolPolicy,
    backend_pool,
)

_MAX_RESPONSE_BYTES = 8_388_608
# A short wait for a free connection absorbs bursts of requests.
_WHEN_FULL = FullPoolPolicy(
    code=FailureCode.QUEUE_FULL,
    wait_ms=100,
    treats_reset_as_full=True,
)


@attrs.define(kw_only=True)
class ServerPools:
    """One connection pool for each incarnation of a backend server."""

    _clock: Clock
    _shares: ConnectionShares
    _pools: dict[str, BackendPool] = attrs.field(factory=dict)
    _ledgers: dict[str, ConnectionLedger] = attrs.field(factory=dict)

    def for_server(self, server: BackendServer) -> BackendPool:
        """Return the connection pool of a server, with its current limit."""
        pool = self._pools.get(server.incarnation)
        if pool is None:
            pool = self._open_pool(server)
        ledger = self._ledgers[server.incarnation]
        ledger.limit = self._shares.connection_limit_for(server.service)
        return pool

    def close_all_except(self, incarnations: set[str]) -> None:
        """Close the connections to all other incarnations when they are idle.

        Args:
            incarnations: incarnations whose pools are kept.
        """
        for incarnation in self._pools.keys() - incarnations:
            self._ledgers.pop(incarnation)
            self._pools.pop(incarnation).evict_all()

    def evict_idle(self) -> None:
        """Close the connections that exceed the idle timeout."""
        for pool in self._pools.values():
            pool.evict_idle()

    def _open_pool(self, server: BackendServer) -> BackendPool:
        ledger = ConnectionLedger(
            limit=self._shares.connection_limit_for(server.service)
        )
        pool = backend_pool(
            address(server.address),
            ledger,
            self._clock,
            _MAX_RESPONSE_BYTES,
            probe=None,
            when_full=_WHEN_FULL,
        )
        self._ledgers[server.incarnation] = ledger
        self._pools[server.incarnation] = pool
        return pool
