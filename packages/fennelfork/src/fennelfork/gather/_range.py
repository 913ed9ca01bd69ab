"""Half-open ranges of record keys."""

from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True, order=True)
class KeyRange:
    """The keys from `lo` up to, not including, `hi`."""

    lo: int
    hi: int

    @property
    def width(self) -> int:
        """How many keys the range spans."""
        return self.hi - self.lo

    def holds(self, key: int) -> bool:
        """Tell whether `key` lies in the range."""
        return self.lo <= key < self.hi


def key_range(lo: int, hi: int) -> KeyRange:
    """Build a range of at least one key.

    Raises:
        ValueError: if `hi` is not above `lo`, or `lo` is negative.
    """
    if not 0 <= lo < hi:
        raise ValueError(f'not a range of keys: [{lo}, {hi})')
    return KeyRange(lo=lo, hi=hi)


def missing_ranges(
    whole: KeyRange,
    held: Iterable[KeyRange],
) -> tuple[KeyRange, ...]:
    """Find the parts of `whole` that no range of `held` covers.

    Args:
        whole: the range to cover.
        held: ranges in any order, which may overlap or reach outside.

    Returns:
        The uncovered ranges, lowest first, not touching each other.
    """
    gaps: list[KeyRange] = []
    reached = whole.lo
    for part in sorted(held):
        if part.lo > reached:
            gap_end = min(part.lo, whole.hi)
            gaps.append(KeyRange(lo=reached, hi=gap_end))
        reached = max(reached, part.hi)
        if reached >= whole.hi:
            return tuple(gaps)
    gaps.append(KeyRange(lo=reached, hi=whole.hi))
    return tuple(gaps)
