"""Tests the check that draining servers receive no new requests."""

from bench_builders_proof import history, query_ran, received

from fennelfork_bench.checks._base import TimeLimits
from fennelfork_bench.checks._drain import check_drain
from fennelfork_bench.history._server import DrainAsked

_LIMITS = TimeLimits(drain_ms=3000)
_DRAIN = DrainAsked(at_ms=1000, server='raft-a')


class TestCheckDrain:
    """Detection of requests long after a drain."""

    def test_violations(self) -> None:
        """A request that arrives too late is detected."""
        late = received(at_ms=4001)
        found = check_drain(history(_DRAIN, late), _LIMITS)
        assert [broken.events for broken in found] == [(_DRAIN, late)]

    def test_valid(self) -> None:
        """Early requests, other servers and late runs are valid."""
        complete_history = history(
            _DRAIN,
            received(at_ms=500),
            received(at_ms=4000),
            received(at_ms=4001, server='raft-b'),
            query_ran(at_ms=4001),
        )
        assert not check_drain(complete_history, _LIMITS)
