"""Tests of the check of answers in the demo."""

import attrs
import pytest

from fennelfork_bench.backend_server._records import record_at
from fennelfork_bench.demo._check import ExpectedAnswer, find_faults
from fennelfork_bench.rig._caller import RequestResult
from fennelfork_bench.rig._http import HttpResponse

_KEYS = 20
_ALL = ExpectedAnswer(keys=_KEYS)
_PARTIAL = ExpectedAnswer(keys=_KEYS, complete=False)


def _asked(lo: int, hi: int, missing: list[dict[str, int]]) -> RequestResult:
    records = [attrs.asdict(record_at(1, key, 3)) for key in range(lo, hi)]
    missing_keys = sum(each['hi'] - each['lo'] for each in missing)
    coverage = {
        'complete': not missing,
        'fraction': 1 - missing_keys / _KEYS,
        'missing': missing,
    }
    body = {
        'request_id': 'r1',
        'records': records,
        'snapshot': 3,
        'coverage': coverage,
    }
    reply = HttpResponse(status=200, body=body)
    return RequestResult(request_id='r1', reply=reply, attempts=1, took_ms=1)


class TestFaultsOf:
    """Correct answers have no faults; each kind of fault is found."""

    def test_complete_and_partial_answers_pass(self) -> None:
        """Complete answers and partial answers with coverage are correct."""
        assert not find_faults(_asked(0, _KEYS, []), _ALL)
        partial_answer = _asked(0, 10, [{'lo': 10, 'hi': _KEYS}])
        assert not find_faults(partial_answer, _PARTIAL)

    def test_unreported_loss_is_found(self) -> None:
        """A missing record outside the missing ranges is a fault."""
        assert find_faults(_asked(0, 19, []), _ALL) == ['wrong records']

    def test_partial_answer_to_complete_query(self) -> None:
        """A partial answer is a fault where a complete answer is expected."""
        partial_answer = _asked(0, 10, [{'lo': 10, 'hi': _KEYS}])
        assert find_faults(partial_answer, _ALL) == ['not complete']

    @pytest.mark.parametrize(
        ('changed', 'fault'),
        [
            ({'request_id': 'r2'}, 'answer to another request'),
            ({'snapshot': 4}, 'wrong records'),
            (
                {
                    'coverage': {
                        'complete': True,
                        'fraction': 0.9,
                        'missing': [],
                    },
                },
                'wrong coverage',
            ),
            (
                {
                    'coverage': {
                        'complete': False,
                        'fraction': 1,
                        'missing': [],
                    },
                },
                'complete contradicts the missing ranges',
            ),
        ],
    )
    def test_wrong_field_is_found(
        self,
        changed: dict[str, object],
        fault: str,
    ) -> None:
        """A single wrong field is a fault."""
        correct = _asked(0, _KEYS, [])
        body = {**correct.reply.body, **changed}
        reply = attrs.evolve(correct.reply, body=body)
        assert find_faults(attrs.evolve(correct, reply=reply), _ALL) == [fault]

    def test_duplicate_record_is_found(self) -> None:
        """A duplicate record is a fault."""
        correct = _asked(0, _KEYS, [])
        records = correct.reply.body['records']
        correct.reply.body['records'] = [records[0], *records]
        assert find_faults(correct, _ALL) == ['wrong records']

    def test_refusal_is_found(self) -> None:
        """A problem document instead of an answer is a fault."""
        reply = HttpResponse(status=503, body={'detail': 'busy'})
        asked = RequestResult(
            request_id='r1', reply=reply, attempts=1, took_ms=1
        )
        assert find_faults(asked, _ALL) == ['no answer: 503 busy']
