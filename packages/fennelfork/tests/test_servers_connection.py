"""Connections to a server: limit, reuse and silence."""

from fennelfork.servers import ConnectionLedger


class TestLedger:
    """Which connection carries a request."""

    def test_holds_the_limit(self) -> None:
        """No third connection; a fresh one takes the place of an idle."""
        ledger = ConnectionLedger(limit=2)
        first = ledger.use(0, fresh=False)
        ledger.use(0, fresh=False)
        assert not ledger.has_capacity
        assert ledger.use(0, fresh=True) is None
        ledger.done(first.connection, 1, usable=True)
        fresh = ledger.use(2, fresh=True)
        assert fresh.opened
        assert fresh.close == (first.connection,)
        assert ledger.open == 2

    def test_probes_what_idled(self) -> None:
        """A connection is reused as it is for a second, then probed."""
        ledger = ConnectionLedger(limit=2)
        used = ledger.use(0, fresh=False)
        ledger.done(used.connection, 0, usable=True)
        again = ledger.use(1000, fresh=False)
        assert (again.connection, again.probe) == (used.connection, False)
        ledger.done(used.connection, 1000, usable=True)
        assert ledger.use(2001, fresh=False).probe

    def test_never_reuses_one_that_timed_out(self) -> None:
        """A late answer on it would cross."""
        ledger = ConnectionLedger(limit=2)
        used = ledger.use(0, fresh=False)
        assert not ledger.done(used.connection, 9, usable=False)
        assert ledger.use(9, fresh=False).opened

    def test_silence_takes_its_peers_along(self) -> None:
        """Idle peers of that age close now, busy ones when they end."""
        ledger = ConnectionLedger(limit=9)
        unresponsive, idle, busy = (
            ledger.use(0, fresh=True).connection for _ in range(3)
        )
        ledger.done(idle, 1, usable=True)
        young = ledger.use(5, fresh=True).connection
        assert ledger.record_unresponsive(unresponsive) == (unresponsive, idle)
        assert not ledger.done(busy, 6, usable=True)
        assert ledger.done(young, 6, usable=True)
        assert not ledger.record_unresponsive(unresponsive)

    def test_retires_the_long_idle(self) -> None:
        """A connection that nobody needs is closed."""
        ledger = ConnectionLedger(limit=2)
        used = ledger.use(0, fresh=False).connection
        ledger.done(used, 0, usable=True)
        assert not ledger.evict_idle(29_000)
        assert ledger.evict_idle(30_000) == (used,)
        assert ledger.open == 0
