"""Decision whether a query is answered or refused."""

import pytest
from core_builders_answers import reply_to

from fennelfork import FailureCode, Verdict, not_run
from fennelfork.gather import (
    Assignment,
    CompleteCoverage,
    Merge,
    PartialCoverage,
    PartitionMap,
    is_unsatisfiable,
    key_range,
    plan_merge,
    refusal_of,
)

_WHOLE = key_range(0, 20)
_INVALID = not_run(FailureCode.BAD_REQUEST, 'keys: must be a list')
_SHED = not_run(FailureCode.SHED, 'all slots busy')


def _merge() -> Merge:
    halves = (key_range(0, 10), key_range(10, 20))
    partition = PartitionMap(
        snapshot=3,
        assignments=tuple(
            Assignment(shard=f's{half.lo}', span=half) for half in halves
        ),
    )
    return plan_merge('r-1', partition, _WHOLE)


class TestRefusalOf:
    """Failure of a finished query."""

    @pytest.mark.parametrize(
        'demand',
        [CompleteCoverage(), PartialCoverage(floor=0)],
    )
    def test_reports_invalid_query(self, demand) -> None:
        """An invalid query is refused with the failure of the servers."""
        merge = _merge()
        for name in merge.plan:
            merge.record_failure(name, _INVALID)
        assert refusal_of(merge, demand) == _INVALID

    def test_invalid_keeps_the_verdict_of_all_parts(self) -> None:
        """The verdict is `RAN` if another sub-query ran."""
        merge = _merge()
        first, second = merge.plan.values()
        merge.add_reply(reply_to(first.expected, [1]))
        merge.record_failure(second.expected.sub_query, _INVALID)
        refusal = refusal_of(merge, CompleteCoverage())
        assert refusal.code is FailureCode.BAD_REQUEST
        assert refusal.verdict is Verdict.RAN

    def test_shed_by_all(self) -> None:
        """The failure is `NOT_RUN` with a retry delay."""
        merge = _merge()
        for name in merge.plan:
            merge.record_failure(name, _SHED)
        refusal = refusal_of(merge, CompleteCoverage())
        assert refusal.code is FailureCode.SHED
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_ms == 200

    def test_partial_answer_is_allowed(self) -> None:
        """Half coverage satisfies a demand of 0.5, but not of 0.6."""
        merge = _merge()
        first, second = merge.plan.values()
        merge.add_reply(reply_to(first.expected, [1]))
        merge.record_failure(second.expected.sub_query, _SHED)
        assert refusal_of(merge, PartialCoverage(floor=0.5)) is None
        refusal = refusal_of(merge, PartialCoverage(floor=0.6))
        assert refusal.code is FailureCode.PARTIAL
        assert refusal.verdict is Verdict.RAN


class TestIsUnsatisfiable:
    """Early detection that the demand cannot be met."""

    def test_one_failure_rules_out_complete_coverage(self) -> None:
        """The pending sub-query may have run."""
        merge = _merge()
        first, second = merge.plan
        assert not is_unsatisfiable(merge, CompleteCoverage())
        merge.record_failure(first, _SHED)
        assert is_unsatisfiable(merge, CompleteCoverage())
        assert [left.expected.sub_query for left in merge.pending] == [second]
        refusal = refusal_of(merge, CompleteCoverage())
        assert refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_reachable_coverage_is_awaited(self) -> None:
        """Half coverage is still possible, more than half is not."""
        merge = _merge()
        merge.record_failure(next(iter(merge.plan)), _SHED)
        assert not is_unsatisfiable(merge, PartialCoverage(floor=0.5))
        assert is_unsatisfiable(merge, PartialCoverage(floor=0.6))

    def test_lost_snapshot_is_not_counted(self) -> None:
        """The query may be rerun on another snapshot."""
        merge = _merge()
        gone = not_run(FailureCode.SNAPSHOT_GONE, 'dropped')
        merge.record_failure(next(iter(merge.plan)), gone)
        assert not is_unsatisfiable(merge, CompleteCoverage())
