"""The connections to all backend servers."""

import attrs

from fennelfork import Clock, FailureCode
from fennelfork.routes import BackendServer, ConnectionShares
from fennelfork.servers import ConnectionLedger
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._pool import BackendPool, WhenFull, backend_pool

# The largest answer of a backend server that is read.
_MOST_BYTES = 8_388_608
# For a connection that another call gives back: calls take some 50 ms, and
# failing at once ends a request that comes in a burst.
_WHEN_FULL = WhenFull(
    code=FailureCode.QUEUE_FULL,
    wait_ms=100,
    reset_is_full=True,
)


@attrs.define(kw_only=True)
class ServerPools:
    """A pool of connections for each run of a backend server."""

    _clock: Clock
    _shares: ConnectionShares
    _pools: dict[str, BackendPool] = attrs.field(factory=dict)
    _ledgers: dict[str, ConnectionLedger] = attrs.field(factory=dict)

    def of(self, server: BackendServer) -> BackendPool:
        """Give the connections to a server, within its present limit."""
        pool = self._pools.get(server.incarnation)
        if pool is None:
            pool = self._open(server)
        ledger = self._ledgers[server.incarnation]
        ledger.limit = self._shares.limit_for(server.service)
        return pool

    def keep(self, runs: set[str]) -> None:
        """Close the connections to all other runs once they are idle."""
        for run in self._pools.keys() - runs:
            self._ledgers.pop(run)
            self._pools.pop(run).retire_all()

    def retire(self) -> None:
        """Close what idled for long."""
        for pool in self._pools.values():
            pool.retire()

    def _open(self, server: BackendServer) -> BackendPool:
        ledger = ConnectionLedger(limit=self._shares.limit_for(server.service))
        pool = backend_pool(
            address(server.address),
            ledger,
            self._clock,
            _MOST_BYTES,
            probe=None,
            when_full=_WHEN_FULL,
        )
        self._ledgers[server.incarnation] = ledger
        self._pools[server.incarnation] = pool
        return pool
