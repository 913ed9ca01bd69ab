"""Problem documents."""

import json

import pytest

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork_daemon.http._problem import (
    problem_body,
    problem_reply,
    problem_status,
)


class TestProblemStatus:
    """The HTTP status of a failure."""

    @pytest.mark.parametrize('code', list(FailureCode))
    def test_every_code_has_an_error_status(self, code: FailureCode) -> None:
        """No failure is answered with a status of success."""
        assert 400 <= problem_status(code) < 600


class TestProblemBody:
    """The RFC 9457 document."""

    def test_carries_verdict_and_retry(self) -> None:
        """The document says whether it ran and when to ask again."""
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

    def test_leaves_out_what_is_unknown(self) -> None:
        """Neither a request id nor a time is made up."""
        body = problem_body(may_have_run(FailureCode.CANCELLED, 'x'), None)
        assert body['verdict'] == Verdict.MAY_HAVE_RUN.value
        assert 'request_id' not in body
        assert 'retry_after_ms' not in body


class TestProblemReply:
    """The whole answer."""

    def test_rounds_retry_after_up(self) -> None:
        """The header is in whole seconds and never too short."""
        reply = problem_reply(not_run(FailureCode.SHED, 'busy', 1500), 'r1')
        assert ('Retry-After', '2') in reply.headers
        assert reply.status_line == '503 Service Unavailable'
        assert json.loads(reply.body)['status'] == 503

    def test_takes_another_status(self) -> None:
        """A refusal of reading brings its own status."""
        failure = not_run(FailureCode.BAD_REQUEST, 'too long')
        reply = problem_reply(failure, None, status=413)
        assert reply.status == 413
        assert json.loads(reply.body)['status'] == 413
