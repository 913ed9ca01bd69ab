"""Coverage of answers, and the coverage that callers demand."""

import functools
from collections.abc import Iterable

import attrs

from fennelfork._verdict import FailureCode
from fennelfork.gather._range import KeyRange, missing_ranges


@attrs.frozen(kw_only=True)
class MissingRange:
    """Key range that an answer does not cover, with the reason."""

    span: KeyRange
    reason: FailureCode


@attrs.frozen(kw_only=True)
class Coverage:
    """Coverage of an answer.

    Attributes:
        complete: whether all keys of the front are covered.
        fraction: fraction of covered keys, below 1 unless complete.
        missing: ranges that are not covered, in key order.
    """

    complete: bool
    fraction: float
    missing: tuple[MissingRange, ...]


@attrs.frozen(kw_only=True)
class CompleteCoverage:
    """Demand for a complete answer."""


@attrs.frozen(kw_only=True)
class PartialCoverage:
    """Demand for an answer with a minimum fraction of covered keys."""

    floor: float


def coverage_of(
    full_range: KeyRange,
    held: Iterable[KeyRange],
    failed: Iterable[MissingRange],
) -> Coverage:
    """Compute the coverage of an answer.

    Args:
        full_range: all keys of the front.
        held: ranges whose records were received.
        failed: ranges of failed sub-queries, with the reasons.

    Returns:
        The coverage; gaps without a sub-query have the reason `NOT_HELD`.
    """
    gaps = missing_ranges(full_range, held)
    missing_width = sum(gap.width for gap in gaps)
    reasons = sorted(failed, key=_start_key)
    return Coverage(
        complete=not gaps,
        fraction=(full_range.width - missing_width) / full_range.width,
        missing=tuple(
            missing for gap in gaps for missing in _attribute_gap(gap, reasons)
        ),
    )


@functools.singledispatch
def accepts_coverage(demand: object, coverage: Coverage) -> bool:
    """Return whether a coverage satisfies the demand of a caller.

    Args:
        demand: `CompleteCoverage` or `PartialCoverage`.
        coverage: coverage of the answer.

    Raises:
        TypeError: if `demand` is not a coverage demand.
    """
    raise TypeError(f'unsupported coverage demand: {demand!r}')


@accepts_coverage.register
def _allows_whole(demand: CompleteCoverage, coverage: Coverage) -> bool:
    return coverage.complete


@accepts_coverage.register
def _allows_partial(demand: PartialCoverage, coverage: Coverage) -> bool:
    return coverage.fraction >= demand.floor


def _start_key(missing: MissingRange) -> int:
    return missing.span.lo


def _attribute_gap(
    gap: KeyRange,
    reasons: list[MissingRange],
) -> Iterable[MissingRange]:
    """Split a gap by the failed ranges that overlap it."""
    covered_until = gap.lo
    for known in reasons:
        lo = max(known.span.lo, covered_until)
        hi = min(known.span.hi, gap.hi)
        if lo < hi:
            if covered_until < lo:
                yield _build_unheld_range(covered_until, lo)
            yield MissingRange(
                span=KeyRange(lo=lo, hi=hi),
                reason=known.reason,
            )
            covered_until = hi
    if covered_until < gap.hi:
        yield _build_unheld_range(covered_until, gap.hi)


def _build_unheld_range(lo: int, hi: int) -> MissingRange:
    return MissingRange(
        span=KeyRange(lo=lo, hi=hi),
        reason=FailureCode.NOT_HELD,
    )
