"""What a caller received becomes the right event."""

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
from fennelfork_bench.rig._http import HttpReply
from fennelfork_bench.soak._replies import ended

_PARTIAL = {
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
_OUTCOME = {
    'request_id': 'req-1',
    'key': 3,
    'outcome': 'done',
    'config_version': 1,
}
_PROBLEM = {'request_id': 'req-1', 'code': 'shed', 'verdict': 'not_run'}


class TestEnded:
    """Replies, problems and silence are told apart."""

    @pytest.mark.parametrize(
        ('asked', 'status', 'body', 'expected'),
        [
            (query_asked(), 200, _PARTIAL, partial_answer()),
            (execute_asked(), 200, _OUTCOME, execute_answered()),
            (query_asked(), 503, _PROBLEM, refused()),
        ],
    )
    def test_whole(self, asked, status, body, expected) -> None:
        """A whole reply keeps every field that the checkers read."""
        reply = HttpReply(status=status, body=body)
        assert ended(asked, reply, 150) == expected

    @pytest.mark.parametrize(
        ('reply', 'kind'),
        [
            (HttpReply(status=200, body=_PROBLEM), Malformed),
            (HttpReply(status=500, body={}), Malformed),
            (
                HttpReply(status=0, body={}, fault='NewConnectionError'),
                ConnectRefused,
            ),
            (
                HttpReply(status=0, body={}, fault='ReadTimeoutError'),
                ConnectionCut,
            ),
        ],
    )
    def test_no_reply(self, reply, kind) -> None:
        """What is no reply of the contract is never taken for one."""
        assert isinstance(ended(query_asked(), reply, 150), kind)
