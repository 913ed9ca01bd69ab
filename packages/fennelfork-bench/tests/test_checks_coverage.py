"""The checker of the promise of true coverage."""

import pytest
from bench_builders_proof import (
    ALL_KEYS,
    answered,
    details,
    history,
    partial_answer,
    query_answered,
    query_asked,
    records,
    truth,
)

from fennelfork_bench.checks._coverage import check_coverage


class TestCheckCoverage:
    """Coverage that is stated wrongly is found."""

    @pytest.mark.parametrize(
        ('answer', 'said'),
        [
            (query_answered(records=records(0, 1)), 'lacks records'),
            (partial_answer(records=records(0, 1)), '[2, 3, 4]'),
            (partial_answer(records=records(*ALL_KEYS)), 'holds records'),
            (partial_answer(complete=True), 'complete=True'),
            (query_answered(complete=False), 'complete=False'),
            (partial_answer(fraction=0.6), 'fraction 0.6'),
        ],
    )
    def test_bad(self, answer, said) -> None:
        """Silent cuts and wrong flags or fractions are caught."""
        assert said in details(check_coverage(answered(answer), truth()))

    def test_partial_flagged(self) -> None:
        """A partial answer that says what it lacks is good."""
        assert not check_coverage(answered(partial_answer()), truth())

    def test_few_matches(self) -> None:
        """A whole answer to a narrow query may hold few records."""
        narrow = history(
            query_asked(query='{"keys": [4]}'),
            query_answered(records=records(4)),
        )
        assert not check_coverage(narrow, truth())
