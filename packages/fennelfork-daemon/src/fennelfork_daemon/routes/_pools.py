"""Connection pools of all backend servers."""

import functools

import attrs

from fennelfork import Clock, FailureCode
from fennelfork.routes import BackendServer, ConnectionShares
from fennelfork.servers import ConnectionLedger
from fennelfork_daemon._address import address
from fennelfork_daemon.backend._pool import (
    BackendPool,
    FullPoolPolicy,
)
from fennelfork_daemon.backend._response_memory import (
    ResponseMemory,
    response_memory,
)

_MAX_RESPONSE_BYTES = 8_388_608
# Limit on all responses together that are read at the same time.
_MAX_MEMORY_BYTES = 67_108_864
# A short wait for a free connection absorbs bursts of requests: attempts take
# about 50 ms, so a connection is soon released.
_WHEN_FULL = FullPoolPolicy(
    code=FailureCode.QUEUE_FULL,
    wait_ms=100,
    treats_reset_as_full=True,
)


@attrs.frozen(kw_only=True)
class _ServerPool:
    """Connection pool of one server, with its ledger and its address."""

    address: str
    ledger: ConnectionLedger
    pool: BackendPool


@attrs.define(kw_only=True)
class ServerPools:
    """One connection pool for each incarnation of a backend server."""

    _clock: Clock
    _shares: ConnectionShares
    _memory: ResponseMemory = attrs.field(
        factory=functools.partial(response_memory, _MAX_MEMORY_BYTES)
    )
    _open: dict[str, _ServerPool] = attrs.field(factory=dict)

    def for_server(self, server: BackendServer) -> BackendPool:
        """Return the connection pool of a server, with its current limit.

        A server whose start time is unknown may restart at another address
        without a new incarnation.
        """
        known = self._open.get(server.incarnation)
        if known is not None and known.address != server.address:
            known.pool.evict_all()
            known = None
        if known is None:
            known = self._open_pool(server)
            self._open[server.incarnation] = known
        limit = self._shares.connection_limit_for(server.service)
        known.ledger.limit = limit
        # After a loss of power, servers still count the former connections.
        known.pool.awaits_reset = not self._shares.is_settled
        return known.pool

    def close_all_except(self, incarnations: set[str]) -> None:
        """Close the connections to all other incarnations when they are idle.

        Args:
            incarnations: incarnations whose pools are kept.
        """
        for incarnation in self._open.keys() - incarnations:
            self._open.pop(incarnation).pool.evict_all()

    def evict_idle(self) -> None:
        """Close the connections that exceed the idle timeout."""
        for known in self._open.values():
            known.pool.evict_idle()

    def _open_pool(self, server: BackendServer) -> _ServerPool:
        ledger = ConnectionLedger(
            limit=self._shares.connection_limit_for(server.service)
        )
        pool = BackendPool(
            address=address(server.address),
            ledger=ledger,
            clock=self._clock,
            max_response_bytes=_MAX_RESPONSE_BYTES,
            memory=self._memory,
            probe=None,
            when_full=_WHEN_FULL,
        )
        return _ServerPool(address=server.address, ledger=ledger, pool=pool)
