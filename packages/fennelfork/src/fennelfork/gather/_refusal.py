"""Decision whether a query is answered or refused."""

from typing import Final

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.gather._coverage import (
    CompleteCoverage,
    PartialCoverage,
    accepts_coverage,
    coverage_of,
)
from fennelfork.gather._merge import Answer, Merge

_RETRY_PARTIAL_MS: Final = 1000
_RETRY_SHED_MS: Final = 200


def is_unsatisfiable(
    merge: Merge,
    demand: CompleteCoverage | PartialCoverage,
) -> bool:
    """Return whether the failures so far rule out the demanded coverage.

    Such a query is refused without waiting for the other sub-queries. A lost
    snapshot is not counted, because the query may be rerun on another one.

    Args:
        merge: replies and failures so far.
        demand: coverage that the caller demands.
    """
    if not merge.failures or merge.snapshot_gone:
        return False
    best_case = coverage_of(merge.full_range, merge.reachable, ())
    return not accepts_coverage(demand, best_case)


def refusal_of(
    merge: Merge,
    demand: CompleteCoverage | PartialCoverage,
) -> Failure | None:
    """Return the failure of a finished query, or `None` if it is answered.

    Args:
        merge: replies and failures of the sub-queries.
        demand: coverage that the caller demands.

    Returns:
        `None` if the coverage satisfies the demand, or the failure, with the
        joined verdict. A query that a backend server rejected as invalid is
        always refused, because a retry would fail as well.
    """
    for failure in merge.failures:
        if failure.code is FailureCode.BAD_REQUEST:
            return failure.with_verdict(merge.verdict)
    answer = merge.build_answer()
    if accepts_coverage(demand, answer.coverage):
        return None
    return _insufficient_coverage(merge.verdict, answer)


def _insufficient_coverage(verdict: Verdict, answer: Answer) -> Failure:
    coverage = answer.coverage
    reasons = sorted({gap.reason.value for gap in coverage.missing})
    named = ', '.join(reasons)
    nothing_ran = verdict is Verdict.NOT_RUN
    return Failure(
        code=FailureCode.SHED if nothing_ran else FailureCode.PARTIAL,
        verdict=verdict,
        detail=(
            f'answered for {coverage.fraction:.4f} of the keys '
            f'at snapshot {answer.snapshot}; missing: {named}'
        ),
        retry_after_ms=_RETRY_SHED_MS if nothing_ran else _RETRY_PARTIAL_MS,
    )
