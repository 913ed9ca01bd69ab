"""Tests the check that callers receive the answers to their own requests."""

import pytest
from bench_builders_proof import (
    answered,
    execute_answered,
    execute_asked,
    execute_ran,
    expected_index,
    history,
    join_details,
    partial_answer,
    query_answered,
    query_asked,
    records,
    refused,
)

from fennelfork_bench.checks._answer import check_answer_matches_request
from fennelfork_bench.history._caller import Malformed

_MALFORMED = Malformed(at_ms=150, attempt='try-1', detail='200 []')
_NARROW = query_asked(query='{"keys": [1]}')


class TestQueries:
    """Answers to queries."""

    @pytest.mark.parametrize(
        ('events', 'expected_detail'),
        [
            ((query_asked(),), '0 ends'),
            ((query_asked(), query_answered(), refused()), '2 ends'),
            ((query_answered(),), 'without a request'),
            ((query_asked(), query_answered(reply_to='req-2')), 'req-2'),
            ((query_asked(), refused(reply_to='req-2')), 'req-2'),
            ((query_asked(), execute_answered()), 'of an execution'),
            ((query_asked(), _MALFORMED), 'malformed'),
            ((query_asked(), partial_answer()), 'requires a complete one'),
            ((_NARROW, query_answered(records=records(1, 1))), 'duplicate'),
            ((_NARROW, query_answered(records=records(1, 2))), '[2]'),
            (
                (query_asked(whole=False, floor=0.6), partial_answer()),
                'below the minimum',
            ),
        ],
    )
    def test_violations(self, events, expected_detail) -> None:
        """Lost, duplicate, mismatched and truncated answers are detected."""
        found = check_answer_matches_request(history(*events), expected_index())
        assert expected_detail in join_details(found)

    def test_valid(self) -> None:
        """A complete, a refused and an accepted partial answer are valid."""
        partial = history(
            query_asked(whole=False, floor=0.5),
            partial_answer(),
        )
        assert not check_answer_matches_request(partial, expected_index())
        assert not check_answer_matches_request(
            answered(query_answered()), expected_index()
        )
        assert not check_answer_matches_request(
            answered(refused()), expected_index()
        )


class TestExecutions:
    """Answers to executions."""

    @pytest.mark.parametrize(
        ('events', 'expected_detail'),
        [
            ((execute_answered(key=4), execute_ran()), 'key 4'),
            ((execute_answered(),), 'no server ran'),
            ((execute_answered(), execute_ran(key=4)), 'no server ran'),
            ((execute_answered(), execute_ran(action='void')), 'no server'),
            ((query_answered(), execute_ran()), 'of a query'),
        ],
    )
    def test_violations(self, events, expected_detail) -> None:
        """Outcomes of other executions, or of none, are detected."""
        complete_history = history(execute_asked(), *events)
        assert expected_detail in join_details(
            check_answer_matches_request(complete_history, expected_index())
        )

    def test_valid(self) -> None:
        """The outcome of an execution that ran is valid."""
        complete_history = history(
            execute_asked(), execute_ran(), execute_answered()
        )
        assert not check_answer_matches_request(
            complete_history, expected_index()
        )
