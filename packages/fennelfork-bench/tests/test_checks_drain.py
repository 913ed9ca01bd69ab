"""The checker of the promise that a leaving server gets no new work."""

from bench_builders_proof import history, query_ran, received

from fennelfork_bench.checks._base import Limits
from fennelfork_bench.checks._drain import check_drain
from fennelfork_bench.history._server import DrainAsked

_LIMITS = Limits(drain_ms=3000)
_DRAIN = DrainAsked(at_ms=1000, server='raft-a')


class TestCheckDrain:
    """Work that comes long after the drain is found."""

    def test_bad(self) -> None:
        """Work that arrives too late is caught, whatever came of it."""
        late = received(at_ms=4001)
        found = check_drain(history(_DRAIN, late), _LIMITS)
        assert [broken.events for broken in found] == [(_DRAIN, late)]

    def test_near_miss(self) -> None:
        """Early work, other servers and runs of old work are good."""
        whole = history(
            _DRAIN,
            received(at_ms=500),
            received(at_ms=4000),
            received(at_ms=4001, server='raft-b'),
            query_ran(at_ms=4001),
        )
        assert not check_drain(whole, _LIMITS)
