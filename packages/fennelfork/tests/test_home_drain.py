"""Attempts at servers that refused a request as draining."""

from core_builders_home import (
    DRAINING,
    HEDGED,
    SERVING,
    Rig,
    cancels,
    rig,
    sends,
)

from fennelfork import FailureCode, not_run
from fennelfork.home import ServerConfig


def _refuse_as_draining() -> Rig:
    """Build a shard whose only server has refused an attempt as draining."""
    shard = rig(servers=1)
    first = sends(shard.submit())[0]
    draining = not_run(FailureCode.DRAINING, 'draining')
    shard.home.on_failure(first.attempt, draining)
    return shard


class TestRefusal:
    """Guard against new work for a server that leaves."""

    def test_refusal_outlasts_false_health_reports(self) -> None:
        """A server that leaves gets no attempt, whatever it reports."""
        shard = _refuse_as_draining()
        for _ in range(240):
            shard.time.advance(500)
            shard.home.servers.on_report('s0', SERVING)
            assert not sends(shard.submit())

    def test_refusal_of_cancelled_attempt_counts(self) -> None:
        """A server that refuses a cancelled attempt gets no further attempt."""
        shard = rig(servers=1)
        first = sends(shard.submit(within_ms=10))[0]
        assert cancels(shard.after(10))
        draining = not_run(FailureCode.DRAINING, 'draining')
        shard.home.on_failure(first.attempt, draining)
        assert not sends(shard.submit())

    def test_drain_ends_when_health_report_ends_it(self) -> None:
        """A report that confirmed the refusal may also end it."""
        shard = _refuse_as_draining()
        shard.home.servers.on_report('s0', DRAINING)
        shard.home.servers.on_report('s0', SERVING)
        assert sends(shard.submit())

    def test_drain_ends_with_the_process(self) -> None:
        """The next process at the address of a drained server gets work."""
        shard = _refuse_as_draining()
        shard.home.servers.drain_state('s0').record_process_ended()
        assert sends(shard.submit())

    def test_drain_ends_at_another_address(self) -> None:
        """A server that the configuration moves to an address gets work."""
        shard = _refuse_as_draining()
        moved = ServerConfig(
            name='s0', address='127.0.0.1:2', slots=2, connections=20
        )
        shard.home.servers.configure(HEDGED, [moved])
        shard.home.servers.on_report('s0', SERVING)
        assert sends(shard.submit())
