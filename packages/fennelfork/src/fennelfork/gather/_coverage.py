"""How much of the keys an answer covers, and how much its caller needs."""

import functools
from collections.abc import Iterable

import attrs

from fennelfork._verdict import FailureCode
from fennelfork.gather._range import KeyRange, missing_ranges


@attrs.frozen(kw_only=True)
class MissingRange:
    """Keys that an answer does not cover, and why."""

    span: KeyRange
    reason: FailureCode


@attrs.frozen(kw_only=True)
class Coverage:
    """What an answer covers.

    Attributes:
        complete: whether every key of the front is covered.
        fraction: covered keys among all keys, below 1 unless complete.
        missing: the ranges that are not covered, lowest first.
    """

    complete: bool
    fraction: float
    missing: tuple[MissingRange, ...]


@attrs.frozen(kw_only=True)
class CompleteCoverage:
    """The caller takes the whole answer or a refusal."""


@attrs.frozen(kw_only=True)
class PartialCoverage:
    """The caller takes a partial answer from a fraction of keys upward."""

    floor: float


def coverage_of(
    full_range: KeyRange,
    held: Iterable[KeyRange],
    failed: Iterable[MissingRange],
) -> Coverage:
    """Count coverage by ranges.

    Args:
        whole: all keys of the front.
        held: the ranges whose records are in.
        failed: the ranges that were asked for in vain, with the reason.

    Returns:
        The coverage; a gap that nobody was asked for is `NOT_HELD`.
    """
    gaps = missing_ranges(full_range, held)
    missing_width = sum(gap.width for gap in gaps)
    reasons = sorted(failed, key=_start)
    return Coverage(
        complete=not gaps,
        fraction=(full_range.width - missing_width) / full_range.width,
        missing=tuple(
            missing for gap in gaps for missing in _attribute_gap(gap, reasons)
        ),
    )


@functools.singledispatch
def accepts_coverage(demand: object, coverage: Coverage) -> bool:
    """Tell whether a caller's demand takes an answer of such coverage.

    Args:
        demand: `CompleteCoverage` or `PartialCoverage`.
        coverage: what the answer covers.

    Raises:
        TypeError: for a demand of another type.
    """
    raise TypeError(f'not a demand of coverage: {demand!r}')


@accepts_coverage.register
def _allows_whole(demand: CompleteCoverage, coverage: Coverage) -> bool:
    return coverage.complete


@accepts_coverage.register
def _allows_partial(demand: PartialCoverage, coverage: Coverage) -> bool:
    return coverage.fraction >= demand.floor


def _start(missing: MissingRange) -> int:
    return missing.span.lo


def _attribute_gap(
    gap: KeyRange,
    reasons: list[MissingRange],
) -> Iterable[MissingRange]:
    """Split one gap by the reasons known for its parts."""
    covered_until = gap.lo
    for known in reasons:
        lo = max(known.span.lo, covered_until)
        hi = min(known.span.hi, gap.hi)
        if lo < hi:
            if covered_until < lo:
                yield _not_held(covered_until, lo)
            yield MissingRange(
                span=KeyRange(lo=lo, hi=hi),
                reason=known.reason,
            )
            covered_until = hi
    if covered_until < gap.hi:
        yield _not_held(covered_until, gap.hi)


def _not_held(lo: int, hi: int) -> MissingRange:
    return MissingRange(
        span=KeyRange(lo=lo, hi=hi),
        reason=FailureCode.NOT_HELD,
    )
