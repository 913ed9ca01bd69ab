"""Whether a merged query goes out as an answer, or as what failure."""

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
    """Tell whether what failed already rules out the coverage demanded.

    Such a query gets its final answer at once: waiting for its other parts
    would only hold that back. A lost snapshot does not count, as the whole
    query may run again on another one.

    Args:
        merge: the parts and failures so far.
        demand: how much coverage the caller needs.
    """
    if not merge.failures or merge.snapshot_gone:
        return False
    at_best = coverage_of(merge.full_range, merge.reachable, ())
    return not accepts_coverage(demand, at_best)


def refusal_of(
    merge: Merge,
    demand: CompleteCoverage | PartialCoverage,
) -> Failure | None:
    """Judge a query of which nothing more is awaited.

    Args:
        merge: the parts and failures of its sub-queries.
        demand: how much coverage the caller needs.

    Returns:
        None if the answer may go out; else the failure, whose verdict joins
        all parts. A query that a backend server calls invalid is refused as
        such whatever the demand: asked again it fails again.
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
