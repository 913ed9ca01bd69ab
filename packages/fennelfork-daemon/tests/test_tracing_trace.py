"""Traces of requests, and the ring that keeps them."""

from fennelfork import FailureCode, ManualTime, manual_clock, not_run
from fennelfork.gather import (
    ExpectedReply,
    KeyRange,
    PlannedSubQuery,
    SubQueryOutcome,
)
from fennelfork_daemon.tracing._trace import ExplainRing, request_trace


def _part(**changes: object) -> SubQueryOutcome:
    expected = ExpectedReply(
        request_id='r1',
        sub_query='q1',
        snapshot=7,
        span=KeyRange(lo=0, hi=5),
    )
    planned = PlannedSubQuery(shard='s0', expected=expected)
    return SubQueryOutcome(planned=planned, server='raft-a', **changes)


class TestRequestTrace:
    """Notes on one request."""

    def test_notes_only_the_unusual(self) -> None:
        """A part that went well is not noted, a failed or repeated one is."""
        time = ManualTime()
        trace = request_trace(manual_clock(time))
        trace.part(_part(queue_ms=4, server_ms=9))
        time.advance(30)
        trace.part(_part(hedges=1, server_ms=2))
        trace.part(_part(failure=not_run(FailureCode.SHED, 'busy')))
        assert trace.longest_queue_ms == 4
        assert trace.slowest.server_ms == 9
        repeated, failed = trace.events
        assert repeated['at_ms'] == 30
        assert (repeated['event'], repeated['hedges']) == (
            'sub-query repeated',
            1,
        )
        assert (failed['code'], failed['verdict']) == ('shed', 'not_run')

    def test_is_bounded(self) -> None:
        """Events beyond the bound are counted, not kept."""
        trace = request_trace(manual_clock(ManualTime()))
        for _ in range(40):
            trace.note('again')
        assert len(trace.events) == 32
        assert trace.left_out == 8


class TestExplainRing:
    """Stories of the latest requests."""

    def test_forgets_the_oldest(self) -> None:
        """The ring holds no more than its bound; a repeat is the newest."""
        ring = ExplainRing(most=2)
        for name in ('a', 'b', 'a', 'c'):
            ring.remember(name, {'of': name})
        assert ring.find('b') is None
        assert ring.find('a') == {'of': 'a'}
        assert ring.find('c') == {'of': 'c'}
