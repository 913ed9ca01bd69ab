"""What replies prove about non-idempotent requests."""

import json
from typing import Any

import pytest
from returns.result import Success

from fennelfork import FailureCode, Verdict
from fennelfork.once import ExecuteCall, classify_execute_response

_CALL = ExecuteCall(
    request_id='cert-1@s',
    sub_query='x1',
    key=7,
    action='issue',
)
_REPLY = {
    'request_id': 'cert-1@s',
    'sub_query': 'x1',
    'key': 7,
    'outcome': 'certificate 5',
}
_SHED = {
    'request_id': 'cert-1@s',
    'sub_query': 'x1',
    'code': 'shed',
    'verdict': 'not_run',
    'detail': 'all slots are busy',
}


def _judge(status: int, document: Any):
    return classify_execute_response(
        _CALL, status, json.dumps(document).encode()
    )


class TestJudge:
    """The reply of a backend server."""

    def test_gives_the_outcome(self) -> None:
        """A reply to this attempt gives its outcome."""
        assert _judge(200, _REPLY) == Success('certificate 5')

    def test_takes_the_servers_word(self) -> None:
        """The server's word on this attempt is taken, with its code."""
        failure = _judge(503, _SHED).failure()
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.code is FailureCode.SHED

    @pytest.mark.parametrize(
        ('status', 'document'),
        [
            (200, {**_REPLY, 'request_id': 'cert-2@s'}),
            (200, {**_REPLY, 'sub_query': 'x2'}),
            (200, {**_REPLY, 'key': 8}),
            (200, {**_REPLY, 'outcome': None}),
            (200, []),
            (503, {**_SHED, 'request_id': 'cert-2@s'}),
            (503, {**_SHED, 'sub_query': 'x2'}),
            (503, {**_SHED, 'verdict': 'surely not'}),
            (503, {}),
        ],
    )
    def test_doubts_what_is_crossed_or_unclear(
        self,
        status: int,
        document: Any,
    ) -> None:
        """A reply to anything else proves nothing, also when it says not."""
        failure = _judge(status, document).failure()
        assert failure.verdict is Verdict.MAY_HAVE_RUN

    def test_doubts_what_is_cut(self) -> None:
        """Half a body proves nothing."""
        judged = classify_execute_response(_CALL, 200, b'{"request_id": "ce')
        assert judged.failure().verdict is Verdict.MAY_HAVE_RUN
