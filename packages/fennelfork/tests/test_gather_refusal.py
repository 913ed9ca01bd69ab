"""Whether a merged query goes out as an answer."""

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
    """The last word on a query."""

    @pytest.mark.parametrize(
        'demand',
        [CompleteCoverage(), PartialCoverage(floor=0)],
    )
    def test_invalid_query_is_told(self, demand) -> None:
        """What servers call invalid is no shed and is not to be repeated."""
        merge = _merge()
        for name in merge.plan:
            merge.record_failure(name, _INVALID)
        assert refusal_of(merge, demand) == _INVALID

    def test_invalid_keeps_the_verdict_of_all_parts(self) -> None:
        """If another server ran its part, the refusal says so."""
        merge = _merge()
        first, second = merge.plan.values()
        merge.add_reply(reply_to(first.expected, [1]))
        merge.record_failure(second.expected.sub_query, _INVALID)
        refusal = refusal_of(merge, CompleteCoverage())
        assert refusal.code is FailureCode.BAD_REQUEST
        assert refusal.verdict is Verdict.RAN

    def test_shed_by_all(self) -> None:
        """Where nothing ran the caller hears so, and when to come back."""
        merge = _merge()
        for name in merge.plan:
            merge.record_failure(name, _SHED)
        refusal = refusal_of(merge, CompleteCoverage())
        assert refusal.code is FailureCode.SHED
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_ms == 200

    def test_half_goes_out_if_allowed(self) -> None:
        """A demand of half is met by half."""
        merge = _merge()
        first, second = merge.plan.values()
        merge.add_reply(reply_to(first.expected, [1]))
        merge.record_failure(second.expected.sub_query, _SHED)
        assert refusal_of(merge, PartialCoverage(floor=0.5)) is None
        refusal = refusal_of(merge, PartialCoverage(floor=0.6))
        assert refusal.code is FailureCode.PARTIAL
        assert refusal.verdict is Verdict.RAN


class TestIsHopeless:
    """A query that is given up on is not waited for."""

    def test_one_refused_part_ends_a_whole_demand(self) -> None:
        """The other part may not hold the refusal back; its doubt stays."""
        merge = _merge()
        first, second = merge.plan
        assert not is_unsatisfiable(merge, CompleteCoverage())
        merge.record_failure(first, _SHED)
        assert is_unsatisfiable(merge, CompleteCoverage())
        assert [left.expected.sub_query for left in merge.pending] == [second]
        refusal = refusal_of(merge, CompleteCoverage())
        assert refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_a_floor_that_can_be_reached_goes_on(self) -> None:
        """Half may still come in; more than half cannot."""
        merge = _merge()
        merge.record_failure(next(iter(merge.plan)), _SHED)
        assert not is_unsatisfiable(merge, PartialCoverage(floor=0.5))
        assert is_unsatisfiable(merge, PartialCoverage(floor=0.6))

    def test_a_lost_snapshot_goes_on(self) -> None:
        """The query may run again on another snapshot."""
        merge = _merge()
        gone = not_run(FailureCode.SNAPSHOT_GONE, 'dropped')
        merge.record_failure(next(iter(merge.plan)), gone)
        assert not is_unsatisfiable(merge, CompleteCoverage())
