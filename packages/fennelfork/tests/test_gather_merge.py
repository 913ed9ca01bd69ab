"""Merging of replies, and coverage demands."""

import attrs
import pytest
from core_builders_answers import reply_to, shard, snapshot
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from fennelfork import FailureCode, Verdict, not_run
from fennelfork.gather import (
    CompleteCoverage,
    Merge,
    PartialCoverage,
    accepts_coverage,
    key_range,
    pin_snapshot,
    plan_merge,
)

_WHOLE = key_range(0, 30)
_SHED = not_run(FailureCode.SHED, 'all slots busy')


def _merge(reach: int = 30) -> Merge:
    views = [
        shard('s0', snapshot(7, (0, 10))),
        shard('s1', snapshot(7, (10, 20))),
        shard('s2', snapshot(7, (20, reach))),
    ]
    return plan_merge('r1', pin_snapshot(views, _WHOLE).unwrap(), _WHOLE)


class TestMerge:
    """Merging of replies and failures."""

    @given(st.permutations(range(3)), st.integers(0, 3))
    def test_complete_only_with_every_range(
        self,
        order: list[int],
        arrived: int,
    ) -> None:
        """Coverage counts the received ranges, in any order."""
        merge = _merge()
        planned = merge.pending
        for index in order[:arrived]:
            expected = planned[index].expected
            assert is_successful(
                merge.add_reply(reply_to(expected, [expected.span.lo])),
            )
        answer = merge.build_answer()
        keys = [record.key for record in answer.records]
        assert keys == sorted(10 * index for index in order[:arrived])
        assert answer.coverage.complete == (arrived == 3)
        assert answer.coverage.fraction == pytest.approx(arrived / 3)
        assert len(answer.coverage.missing) == 3 - arrived

    def test_rejects_duplicate_reply(self) -> None:
        """The late reply of a lost hedge is not merged again."""
        merge = _merge()
        part = reply_to(merge.pending[0].expected, [3])
        assert is_successful(merge.add_reply(part))
        assert merge.add_reply(part).failure().code is FailureCode.BAD_REPLY
        assert len(merge.build_answer().records) == 1

    def test_rejects_unexpected_reply(self) -> None:
        """A reply to another sub-query does not change the coverage."""
        merge = _merge()
        part = reply_to(merge.pending[0].expected, [3])
        crossed = attrs.evolve(part, request_id='r2')
        assert not is_successful(merge.add_reply(crossed))
        unknown = attrs.evolve(part, sub_query='s9@7:0-10')
        assert not is_successful(merge.add_reply(unknown))
        assert merge.build_answer().coverage.fraction == 0

    def test_reports_reasons_of_missing_ranges(self) -> None:
        """Failed, pending and unassigned ranges have different reasons."""
        merge = _merge(reach=25)
        planned = merge.pending
        merge.record_failure(planned[0].expected.sub_query, _SHED)
        missing = merge.build_answer().coverage.missing
        assert [(gap.span.lo, gap.reason) for gap in missing] == [
            (0, FailureCode.SHED),
            (10, FailureCode.DEADLINE),
            (20, FailureCode.DEADLINE),
            (25, FailureCode.NOT_HELD),
        ]

    def test_reply_overrides_failure(self) -> None:
        """A failure does not replace a reply, but a reply replaces a failure."""
        merge = _merge()
        expected = merge.pending[0].expected
        merge.record_failure(expected.sub_query, _SHED)
        assert is_successful(merge.add_reply(reply_to(expected, [])))
        merge.record_failure(expected.sub_query, _SHED)
        assert not merge.failures

    def test_verdict_of_sub_queries(self) -> None:
        """The verdict is `NOT_RUN` only if no sub-query ran."""
        merge = _merge()
        planned = merge.pending
        for part in planned:
            merge.record_failure(part.expected.sub_query, _SHED)
        assert merge.verdict is Verdict.NOT_RUN
        merge.add_reply(reply_to(planned[1].expected, []))
        assert merge.verdict is Verdict.RAN

    def test_rerun_keeps_earlier_verdict(self) -> None:
        """A refused rerun keeps the verdict of the first round."""
        rerun = _merge()
        rerun.earlier_verdict = Verdict.RAN
        for part in rerun.pending:
            rerun.record_failure(part.expected.sub_query, _SHED)
        assert rerun.verdict is Verdict.RAN

    def test_reports_lost_snapshot(self) -> None:
        """A lost snapshot allows a rerun of the query."""
        merge = _merge()
        assert not merge.snapshot_gone
        gone = not_run(FailureCode.SNAPSHOT_GONE, 'snapshot 7 is gone')
        merge.record_failure(merge.pending[0].expected.sub_query, gone)
        assert merge.snapshot_gone


class TestAcceptsCoverage:
    """Demands for complete and partial coverage."""

    def test_complete_demand(self) -> None:
        """A demand for complete coverage rejects partial coverage."""
        merge = _merge()
        assert not accepts_coverage(
            CompleteCoverage(), merge.build_answer().coverage
        )
        for part in merge.pending:
            merge.add_reply(reply_to(part.expected, []))
        assert accepts_coverage(
            CompleteCoverage(), merge.build_answer().coverage
        )

    def test_partial_demand(self) -> None:
        """Partial coverage is accepted from the floor upward."""
        merge = _merge()
        for part in merge.pending[:2]:
            merge.add_reply(reply_to(part.expected, []))
        coverage = merge.build_answer().coverage
        assert accepts_coverage(PartialCoverage(floor=0.6), coverage)
        assert not accepts_coverage(PartialCoverage(floor=0.7), coverage)
