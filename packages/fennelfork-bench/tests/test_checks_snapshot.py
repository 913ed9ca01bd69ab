"""The checker of the promise of one snapshot."""

import pytest
from bench_builders_proof import (
    answered,
    details,
    query_answered,
    records,
    truth,
)

from fennelfork_bench.checks._snapshot import check_snapshot

_MIXED = records(0, 1) + records(2, snapshot=2)


class TestCheckSnapshot:
    """Records of another moment are found."""

    @pytest.mark.parametrize(
        ('answer', 'said'),
        [
            (query_answered(records=_MIXED), '[2]'),
            (query_answered(snapshot=3), 'never existed'),
        ],
    )
    def test_bad(self, answer, said) -> None:
        """An answer that mixes or invents snapshots is caught."""
        assert said in details(check_snapshot(answered(answer), truth()))

    def test_near_miss(self) -> None:
        """Two answers of two snapshots are both good."""
        newer = query_answered(
            snapshot=2,
            records=records(0, 1, snapshot=2),
        )
        both = answered(query_answered(), newer)
        assert not check_snapshot(both, truth())
