"""Tests of problem documents."""

import json

import pytest

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork_daemon.http._problem import (
    problem_body,
    problem_reply,
    problem_status,
)


class TestProblemStatus:
    """HTTP status of a failure code."""

    @pytest.mark.parametrize('code', list(FailureCode))
    def test_every_code_has_an_error_status(self, code: FailureCode) -> None:
        """Every failure code has a 4xx or 5xx status."""
        assert 400 <= problem_status(code) < 600


class TestProblemBody:
    """Members of the RFC 9457 document."""

    def test_carries_verdict_and_retry(self) -> None:
        """The document contains the verdict and the retry delay."""
        body = problem_body(not_run(FailureCode.SHED, 'busy', 1500), 'r1')
        assert body == {
            'type': 'urn:fennelfork:problem:shed',
            'title': 'Service Unavailable',
            'status': 503,
            'detail': 'busy',
            'code': 'shed',
            'verdict': 'not_run',
            'request_id': 'r1',
            'retry_after_ms': 1500,
        }

    def test_omits_unknown_members(self) -> None:
        """The document omits an unknown request ID and retry delay."""
        body = problem_body(may_have_run(FailureCode.CANCELLED, 'x'), None)
        assert body['verdict'] == Verdict.MAY_HAVE_RUN.value
        assert 'request_id' not in body
        assert 'retry_after_ms' not in body


class TestProblemReply:
    """Headers and status of an error answer."""

    def test_rounds_retry_after_up(self) -> None:
        """`Retry-After` is rounded up to whole seconds."""
        reply = problem_reply(not_run(FailureCode.SHED, 'busy', 1500), 'r1')
        assert ('Retry-After', '2') in reply.headers
        assert reply.status_line == '503 Service Unavailable'
        assert json.loads(reply.body)['status'] == 503

    def test_status_override(self) -> None:
        """An explicit status overrides the status of the failure code."""
        failure = not_run(FailureCode.BAD_REQUEST, 'too long')
        reply = problem_reply(failure, None, status=413)
        assert reply.status == 413
        assert json.loads(reply.body)['status'] == 413
