"""Tests of request traces and the explain ring."""

from fennelfork import FailureCode, ManualTime, manual_clock, not_run
from fennelfork.gather import (
    ExpectedReply,
    KeyRange,
    PlannedSubQuery,
    SubQueryOutcome,
)
from fennelfork_daemon.tracing._trace import ExplainRing, request_trace


def _outcome(**changes: object) -> SubQueryOutcome:
    expected = ExpectedReply(
        request_id='r1',
        sub_query='q1',
        snapshot=7,
        span=KeyRange(lo=0, hi=5),
    )
    planned = PlannedSubQuery(shard='s0', expected=expected)
    return SubQueryOutcome(planned=planned, server='raft-a', **changes)


class TestRequestTrace:
    """Events of one request."""

    def test_records_failures_and_extra_attempts(self) -> None:
        """Only failed or repeated sub-queries are recorded as events."""
        time = ManualTime()
        trace = request_trace(manual_clock(time))
        trace.record_outcome(_outcome(queue_ms=4, server_ms=9))
        time.advance(30)
        trace.record_outcome(_outcome(hedges=1, server_ms=2))
        trace.record_outcome(
            _outcome(failure=not_run(FailureCode.SHED, 'busy'))
        )
        assert trace.longest_queue_ms == 4
        assert trace.slowest.server_ms == 9
        repeated, failed = trace.events
        assert repeated['at_ms'] == 30
        assert (repeated['event'], repeated['hedges']) == (
            'sub-query repeated',
            1,
        )
        assert (failed['code'], failed['verdict']) == ('shed', 'not_run')

    def test_event_limit(self) -> None:
        """Events beyond the limit are counted, not stored."""
        trace = request_trace(manual_clock(ManualTime()))
        for _ in range(40):
            trace.record_event('again')
        assert len(trace.events) == 32
        assert trace.omitted_events == 8


class TestExplainRing:
    """Storage of the latest traces."""

    def test_evicts_the_oldest(self) -> None:
        """The ring evicts the oldest entry; a stored again ID is newest."""
        ring = ExplainRing(max_entries=2)
        for name in ('a', 'b', 'a', 'c'):
            ring.store_trace(name, {'of': name})
        assert ring.find('b') is None
        assert ring.find('a') == {'of': 'a'}
        assert ring.find('c') == {'of': 'c'}
