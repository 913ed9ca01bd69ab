"""Tests the check that each answer reflects one snapshot."""

import pytest
from bench_builders_proof import (
    answered,
    expected_index,
    join_details,
    query_answered,
    records,
)

from fennelfork_bench.checks._snapshot import check_snapshot

_MIXED_RECORDS = records(0, 1) + records(2, snapshot=2)


class TestCheckSnapshot:
    """Detection of records from other snapshots."""

    @pytest.mark.parametrize(
        ('answer', 'expected_detail'),
        [
            (query_answered(records=_MIXED_RECORDS), '[2]'),
            (query_answered(snapshot=3), 'never existed'),
        ],
    )
    def test_violations(self, answer, expected_detail) -> None:
        """Answers with mixed or nonexistent snapshots are detected."""
        assert expected_detail in join_details(
            check_snapshot(answered(answer), expected_index())
        )

    def test_valid(self) -> None:
        """Two answers from two snapshots are both valid."""
        newer = query_answered(
            snapshot=2,
            records=records(0, 1, snapshot=2),
        )
        both = answered(query_answered(), newer)
        assert not check_snapshot(both, expected_index())
