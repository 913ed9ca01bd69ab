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
class WholeCoverage:
    """The caller takes the whole answer or a refusal."""


@attrs.frozen(kw_only=True)
class PartialCoverage:
    """The caller takes a partial answer from a fraction of keys upward."""

    floor: float


def coverage_of(
    whole: KeyRange,
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
    gaps = missing_ranges(whole, held)
    missing_width = sum(gap.width for gap in gaps)
    reasons = sorted(failed, key=_start)
    return Coverage(
        complete=not gaps,
        fraction=(whole.width - missing_width) / whole.width,
        missing=tuple(
            missing for gap in gaps for missing in _explain(gap, reasons)
        ),
    )


@functools.singledispatch
def allows(demand: object, coverage: Coverage) -> bool:
    """Tell whether a caller's demand takes an answer of such coverage.

    Args:
        demand: `WholeCoverage` or `PartialCoverage`.
        coverage: what the answer covers.

    Raises:
        TypeError: for a demand of another type.
    """
    raise TypeError(f'not a demand of coverage: {demand!r}')


@allows.register
def _allows_whole(demand: WholeCoverage, coverage: Coverage) -> bool:
    return coverage.complete


@allows.register
def _allows_partial(demand: PartialCoverage, coverage: Coverage) -> bool:
    return coverage.fraction >= demand.floor


def _start(missing: MissingRange) -> int:
    return missing.span.lo


def _explain(
    gap: KeyRange,
    reasons: list[MissingRange],
) -> Iterable[MissingRange]:
    """Split one gap by the reasons known for its parts."""
    reached = gap.lo
    for known in reasons:
        lo = max(known.span.lo, reached)
        hi = min(known.span.hi, gap.hi)
        if lo < hi:
            if reached < lo:
                yield _not_held(reached, lo)
            yield MissingRange(
                span=KeyRange(lo=lo, hi=hi),
                reason=known.reason,
            )
            reached = hi
    if reached < gap.hi:
        yield _not_held(reached, gap.hi)


def _not_held(lo: int, hi: int) -> MissingRange:
    return MissingRange(
        span=KeyRange(lo=lo, hi=hi),
        reason=FailureCode.NOT_HELD,
    )
