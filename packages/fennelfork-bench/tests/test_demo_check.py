"""The judge of the demo's answers."""

import attrs
import pytest

from fennelfork_bench.backend_server._records import record_at
from fennelfork_bench.demo._check import Expected, faults_of
from fennelfork_bench.rig._caller import Asked
from fennelfork_bench.rig._http import HttpReply

_KEYS = 20
_ALL = Expected(keys=_KEYS)
_PARTIAL = Expected(keys=_KEYS, complete=False)


def _asked(lo: int, hi: int, missing: list[dict[str, int]]) -> Asked:
    records = [attrs.asdict(record_at(1, key, 3)) for key in range(lo, hi)]
    gaps = sum(each['hi'] - each['lo'] for each in missing)
    coverage = {
        'complete': not missing,
        'fraction': 1 - gaps / _KEYS,
        'missing': missing,
    }
    body = {
        'request_id': 'r1',
        'records': records,
        'snapshot': 3,
        'coverage': coverage,
    }
    reply = HttpReply(status=200, body=body)
    return Asked(request_id='r1', reply=reply, attempts=1, took_ms=1)


class TestFaultsOf:
    """Right answers pass and each kind of wrong one is named."""

    def test_whole_and_partial_answers_pass(self) -> None:
        """A full answer, and a partial one that says what lacks, are right."""
        assert not faults_of(_asked(0, _KEYS, []), _ALL)
        half = _asked(0, 10, [{'lo': 10, 'hi': _KEYS}])
        assert not faults_of(half, _PARTIAL)

    def test_silent_loss_is_named(self) -> None:
        """Records that lack without a word are wrong records."""
        assert faults_of(_asked(0, 19, []), _ALL) == ['wrong records']

    def test_partial_where_whole_was_wanted(self) -> None:
        """A true partial answer is no answer to a caller who wants all."""
        half = _asked(0, 10, [{'lo': 10, 'hi': _KEYS}])
        assert faults_of(half, _ALL) == ['not complete']

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
                'coverage is not true',
            ),
            (
                {
                    'coverage': {
                        'complete': False,
                        'fraction': 1,
                        'missing': [],
                    },
                },
                'complete contradicts what is missing',
            ),
        ],
    )
    def test_each_lie_is_named(
        self,
        changed: dict[str, object],
        fault: str,
    ) -> None:
        """One untrue member is enough."""
        right = _asked(0, _KEYS, [])
        body = {**right.reply.body, **changed}
        reply = attrs.evolve(right.reply, body=body)
        assert faults_of(attrs.evolve(right, reply=reply), _ALL) == [fault]

    def test_doubled_record_is_named(self) -> None:
        """A record that comes twice is a wrong record."""
        right = _asked(0, _KEYS, [])
        records = right.reply.body['records']
        right.reply.body['records'] = [records[0], *records]
        assert faults_of(right, _ALL) == ['wrong records']

    def test_refusal_is_named(self) -> None:
        """A problem document is no answer."""
        reply = HttpReply(status=503, body={'detail': 'busy'})
        asked = Asked(request_id='r1', reply=reply, attempts=1, took_ms=1)
        assert faults_of(asked, _ALL) == ['no answer: 503 busy']
