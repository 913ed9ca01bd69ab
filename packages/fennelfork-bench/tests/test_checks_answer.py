"""The checker of the promise of one's own, whole answer."""

import pytest
from bench_builders_proof import (
    answered,
    details,
    execute_answered,
    execute_asked,
    execute_ran,
    history,
    partial_answer,
    query_answered,
    query_asked,
    records,
    refused,
    truth,
)

from fennelfork_bench.checks._answer import check_own_answer
from fennelfork_bench.history._caller import Malformed

_MALFORMED = Malformed(at_ms=150, attempt='try-1', detail='200 []')
_NARROW = query_asked(query='{"keys": [1]}')


class TestQueries:
    """A query gets its own whole answer, once."""

    @pytest.mark.parametrize(
        ('events', 'said'),
        [
            ((query_asked(),), '0 ends'),
            ((query_asked(), query_answered(), refused()), '2 ends'),
            ((query_answered(),), 'nobody asked'),
            ((query_asked(), query_answered(reply_to='req-2')), 'req-2'),
            ((query_asked(), refused(reply_to='req-2')), 'req-2'),
            ((query_asked(), execute_answered()), 'of an execution'),
            ((query_asked(), _MALFORMED), 'malformed'),
            ((query_asked(), partial_answer()), 'takes only the whole'),
            ((_NARROW, query_answered(records=records(1, 1))), 'twice'),
            ((_NARROW, query_answered(records=records(1, 2))), '[2]'),
            (
                (query_asked(whole=False, floor=0.6), partial_answer()),
                'below the floor',
            ),
        ],
    )
    def test_bad(self, events, said) -> None:
        """Lost, doubled, crossed and cut answers are caught."""
        found = check_own_answer(history(*events), truth())
        assert said in details(found)

    def test_near_miss(self) -> None:
        """A whole answer, a refusal and a wanted partial are good."""
        partial = history(
            query_asked(whole=False, floor=0.5),
            partial_answer(),
        )
        assert not check_own_answer(partial, truth())
        assert not check_own_answer(answered(query_answered()), truth())
        assert not check_own_answer(answered(refused()), truth())


class TestExecutions:
    """An execution gets its own outcome."""

    @pytest.mark.parametrize(
        ('events', 'said'),
        [
            ((execute_answered(key=4), execute_ran()), 'key 4'),
            ((execute_answered(),), 'no server ran'),
            ((execute_answered(), execute_ran(key=4)), 'no server ran'),
            ((execute_answered(), execute_ran(action='void')), 'no server'),
            ((query_answered(), execute_ran()), 'of a query'),
        ],
    )
    def test_bad(self, events, said) -> None:
        """Outcomes of other executions, or of none, are caught."""
        whole = history(execute_asked(), *events)
        assert said in details(check_own_answer(whole, truth()))

    def test_near_miss(self) -> None:
        """An outcome of an execution that ran is good."""
        whole = history(execute_asked(), execute_ran(), execute_answered())
        assert not check_own_answer(whole, truth())
