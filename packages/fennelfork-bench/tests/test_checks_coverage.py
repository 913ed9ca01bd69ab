"""Tests the check that answers report their coverage correctly."""

import pytest
from bench_builders_proof import (
    ALL_KEYS,
    answered,
    expected_index,
    history,
    join_details,
    partial_answer,
    query_answered,
    query_asked,
    records,
)

from fennelfork_bench.checks._coverage import check_coverage


class TestCheckCoverage:
    """Detection of wrongly reported coverage."""

    @pytest.mark.parametrize(
        ('answer', 'expected_detail'),
        [
            (query_answered(records=records(0, 1)), 'lacks records'),
            (partial_answer(records=records(0, 1)), '[2, 3, 4]'),
            (partial_answer(records=records(*ALL_KEYS)), 'contains records'),
            (partial_answer(complete=True), 'complete=True'),
            (query_answered(complete=False), 'complete=False'),
            (partial_answer(fraction=0.6), 'fraction 0.6'),
        ],
    )
    def test_violations(self, answer, expected_detail) -> None:
        """Unreported gaps and wrong flags or fractions are detected."""
        assert expected_detail in join_details(
            check_coverage(answered(answer), expected_index())
        )

    def test_partial_flagged(self) -> None:
        """A partial answer that reports its missing ranges is valid."""
        assert not check_coverage(answered(partial_answer()), expected_index())

    def test_few_matches(self) -> None:
        """A complete answer to a narrow query may contain few records."""
        narrow = history(
            query_asked(query='{"keys": [4]}'),
            query_answered(records=records(4)),
        )
        assert not check_coverage(narrow, expected_index())
