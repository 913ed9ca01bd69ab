"""Half-open ranges of record keys."""

from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True, order=True)
class KeyRange:
    """Keys from `lo`, inclusive, to `hi`, exclusive."""

    lo: int
    hi: int

    @property
    def width(self) -> int:
        """Number of keys in the range."""
        return self.hi - self.lo

    def contains(self, key: int) -> bool:
        """Return whether the range contains `key`."""
        return self.lo <= key < self.hi


def key_range(lo: int, hi: int) -> KeyRange:
    """Create a range of at least one key.

    Raises:
        ValueError: if `hi` is not above `lo`, or `lo` is negative.
    """
    if not 0 <= lo < hi:
        raise ValueError(
            f'invalid key range [{lo}, {hi}): expected 0 <= lo < hi',
        )
    return KeyRange(lo=lo, hi=hi)


def missing_ranges(
    full_range: KeyRange,
    held: Iterable[KeyRange],
) -> tuple[KeyRange, ...]:
    """Find the parts of `full_range` that no range of `held` covers.

    Args:
        full_range: range to cover.
        held: ranges in any order, which may overlap or exceed the range.

    Returns:
        The uncovered ranges in key order, not adjacent to each other.
    """
    gaps: list[KeyRange] = []
    covered_until = full_range.lo
    for part in sorted(held):
        if part.lo > covered_until:
            gap_end = min(part.lo, full_range.hi)
            gaps.append(KeyRange(lo=covered_until, hi=gap_end))
        covered_until = max(covered_until, part.hi)
        if covered_until >= full_range.hi:
            return tuple(gaps)
    gaps.append(KeyRange(lo=covered_until, hi=full_range.hi))
    return tuple(gaps)
