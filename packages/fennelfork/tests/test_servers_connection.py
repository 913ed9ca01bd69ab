"""Limit, reuse and invalidation of connections to a server."""

from fennelfork.servers import ConnectionLedger


class TestLedger:
    """Selection of the connection for a request."""

    def test_respects_limit(self) -> None:
        """At the limit a new connection replaces an idle one or is refused."""
        ledger = ConnectionLedger(limit=2)
        first = ledger.use(0, fresh=False)
        ledger.use(0, fresh=False)
        assert not ledger.has_capacity
        assert ledger.use(0, fresh=True) is None
        ledger.release(first.connection, 1, usable=True)
        fresh = ledger.use(2, fresh=True)
        assert fresh.opened
        assert fresh.close == (first.connection,)
        assert ledger.open == 2

    def test_probes_idle_connection(self) -> None:
        """A connection is probed after more than one second of idle time."""
        ledger = ConnectionLedger(limit=2)
        used = ledger.use(0, fresh=False)
        ledger.release(used.connection, 0, usable=True)
        again = ledger.use(1000, fresh=False)
        assert (again.connection, again.probe) == (used.connection, False)
        ledger.release(used.connection, 1000, usable=True)
        assert ledger.use(2001, fresh=False).probe

    def test_timed_out_connection_is_not_reused(self) -> None:
        """A late response could be taken for that of the next request."""
        ledger = ConnectionLedger(limit=2)
        used = ledger.use(0, fresh=False)
        assert not ledger.release(used.connection, 9, usable=False)
        assert ledger.use(9, fresh=False).opened

    def test_unresponsive_connection_invalidates_older_ones(self) -> None:
        """Idle connections close at once, busy ones when the request ends."""
        ledger = ConnectionLedger(limit=9)
        unresponsive, idle, busy = (
            ledger.use(0, fresh=True).connection for _ in range(3)
        )
        ledger.release(idle, 1, usable=True)
        young = ledger.use(5, fresh=True).connection
        assert ledger.record_unresponsive(unresponsive) == (unresponsive, idle)
        assert not ledger.release(busy, 6, usable=True)
        assert ledger.release(young, 6, usable=True)
        assert not ledger.record_unresponsive(unresponsive)

    def test_evicts_idle_connections(self) -> None:
        """A connection that was idle for 30 s is closed."""
        ledger = ConnectionLedger(limit=2)
        used = ledger.use(0, fresh=False).connection
        ledger.release(used, 0, usable=True)
        assert not ledger.evict_idle(29_000)
        assert ledger.evict_idle(30_000) == (used,)
        assert ledger.open == 0
