"""Guard against wrong events for the replies that a caller receives."""

import pytest
from bench_builders_proof import (
    execute_answered,
    execute_asked,
    partial_answer,
    query_asked,
    refused,
)

from fennelfork_bench.history._caller import (
    ConnectionCut,
    ConnectRefused,
    Malformed,
)
from fennelfork_bench.rig._http import HttpResponse
from fennelfork_bench.soak._replies import classify_reply

_PARTIAL_ANSWER = {
    'request_id': 'req-1',
    'snapshot': 1,
    'records': [{'key': key, 'text': f'{key}@1'} for key in range(5)],
    'coverage': {
        'complete': False,
        'fraction': 0.5,
        'missing': [{'lo': 5, 'hi': 10, 'reason': 'no_server'}],
    },
    'config_version': 1,
}
_EXECUTE_ANSWER = {
    'request_id': 'req-1',
    'key': 3,
    'outcome': 'done',
    'config_version': 1,
}
_PROBLEM = {'request_id': 'req-1', 'code': 'shed', 'verdict': 'not_run'}


class TestClassifyReply:
    """Tests of `classify_reply`."""

    @pytest.mark.parametrize(
        ('asked', 'status', 'body', 'expected'),
        [
            (query_asked(), 200, _PARTIAL_ANSWER, partial_answer()),
            (execute_asked(), 200, _EXECUTE_ANSWER, execute_answered()),
            (query_asked(), 503, _PROBLEM, refused()),
        ],
    )
    def test_complete_reply(self, asked, status, body, expected) -> None:
        """A complete reply keeps every field that the checkers read."""
        reply = HttpResponse(status=status, body=body)
        assert classify_reply(asked, reply, 150) == expected

    @pytest.mark.parametrize(
        ('reply', 'event_type'),
        [
            (HttpResponse(status=200, body=_PROBLEM), Malformed),
            (HttpResponse(status=500, body={}), Malformed),
            (
                HttpResponse(status=0, body={}, fault='NewConnectionError'),
                ConnectRefused,
            ),
            (
                HttpResponse(status=0, body={}, fault='ReadTimeoutError'),
                ConnectionCut,
            ),
        ],
    )
    def test_invalid_or_missing_reply(self, reply, event_type) -> None:
        """An invalid or missing reply does not count as an answer."""
        assert isinstance(classify_reply(query_asked(), reply, 150), event_type)
