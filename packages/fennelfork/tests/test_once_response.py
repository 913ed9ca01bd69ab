"""Classification of responses to execute requests."""

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
_RESPONSE = {
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


def _classify(status: int, document: Any):
    return classify_execute_response(
        _CALL, status, json.dumps(document).encode()
    )


class TestClassifyExecuteResponse:
    """Responses of a backend server."""

    def test_deep_document_may_have_run(self) -> None:
        """A document that is nested too deeply is no outcome."""
        raw = b'[' * 100_000
        failure = classify_execute_response(_CALL, 200, raw).failure()
        assert failure.verdict is Verdict.MAY_HAVE_RUN

    def test_returns_the_outcome(self) -> None:
        """A response to this attempt returns its outcome."""
        assert _classify(200, _RESPONSE) == Success('certificate 5')

    def test_verdict_of_the_server_is_used(self) -> None:
        """The verdict and code in a response to this attempt are used."""
        failure = _classify(503, _SHED).failure()
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.code is FailureCode.SHED

    @pytest.mark.parametrize(
        ('status', 'document'),
        [
            (200, {**_RESPONSE, 'request_id': 'cert-2@s'}),
            (200, {**_RESPONSE, 'sub_query': 'x2'}),
            (200, {**_RESPONSE, 'key': 8}),
            (200, {**_RESPONSE, 'outcome': None}),
            (200, []),
            (503, {**_SHED, 'request_id': 'cert-2@s'}),
            (503, {**_SHED, 'sub_query': 'x2'}),
            (503, {**_SHED, 'verdict': 'surely not'}),
            (503, {}),
        ],
    )
    def test_mismatched_or_malformed_may_have_run(
        self,
        status: int,
        document: Any,
    ) -> None:
        """A mismatched or malformed response proves nothing."""
        failure = _classify(status, document).failure()
        assert failure.verdict is Verdict.MAY_HAVE_RUN

    def test_truncated_body_may_have_run(self) -> None:
        """A truncated body proves nothing."""
        classified = classify_execute_response(
            _CALL, 200, b'{"request_id": "ce'
        )
        assert classified.failure().verdict is Verdict.MAY_HAVE_RUN
