"""Ranges of keys."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.gather import KeyRange, key_range, missing_ranges

_RANGES = st.builds(
    lambda lo, width: key_range(lo, lo + width),
    st.integers(0, 40),
    st.integers(1, 20),
)


class TestKeyRange:
    """Validation of the bounds."""

    @pytest.mark.parametrize(('lo', 'hi'), [(3, 3), (4, 2), (-1, 2)])
    def test_refuses_empty_or_negative(self, lo: int, hi: int) -> None:
        """An empty range or a negative bound raises `ValueError`."""
        with pytest.raises(ValueError, match='invalid key range'):
            key_range(lo, hi)


class TestMissingRanges:
    """Ranges that are not covered."""

    @given(st.lists(_RANGES, max_size=6))
    def test_agrees_with_a_count_of_keys(self, held: list[KeyRange]) -> None:
        """The gaps contain exactly the keys that no range holds."""
        whole = key_range(5, 50)
        gaps = missing_ranges(whole, held)
        expected = {
            key
            for key in range(whole.lo, whole.hi)
            if not any(part.contains(key) for part in held)
        }
        found = [key for gap in gaps for key in range(gap.lo, gap.hi)]
        assert sorted(expected) == found
