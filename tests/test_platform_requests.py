"""Tests of the codecs for callers and backend servers."""

from typing import Any

import attrs
import pytest
from platform_builders import environ, response
from returns.result import Failure as Failed

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork.routes import BackendServer
from fennelfork_daemon.routes import Forwarded, Merged, Refused, SignedResponse
from fennelfork_platform._backends import PlatformBackends
from fennelfork_platform._callers import PlatformCallers

_NOT_RUN_STATUSES = {
    FailureCode.BAD_REQUEST: 400,
    FailureCode.UNKNOWN_KEY: 401,
    FailureCode.UNKNOWN_FRONT: 404,
    FailureCode.QUOTA: 429,
}
_CALLERS = PlatformCallers()
_BACKENDS = PlatformBackends()
_SERVER = BackendServer(
    instance='i-7',
    service='archive',
    address='10.1.0.9:80',
    data_centre='tulcea',
    slots=5,
)


def _fingerprint(body: bytes | None = None, **changes: Any) -> str:
    """Return the fingerprint of a request."""
    fields = {'REMOTE_ADDR': '10.0.0.9', **changes}
    return str(
        _CALLERS.read_request(environ(**fields), body).unwrap().fingerprint
    )


class TestCallerRequests:
    """Requests of callers."""

    def test_forwarded_headers(self) -> None:
        """Hop-by-hop headers are dropped; the daemon sets its own headers."""
        ask = _CALLERS.read_request(environ(), None).unwrap()
        assert (ask.target, ask.path) == ('/rafts/7?full=1', '/rafts/7')
        assert ask.host == 'rafts.example'
        call = _BACKENDS.write_request(ask, _SERVER, lambda: 1500.9)
        assert call.target == ask.target
        assert call.headers + call.timed_headers() == (
            ('Host', 'Rafts.example:80'),
            ('X-Request-Id', '9c41d07be2a35f68'),
            ('Accept', 'a'),
            ('Accept', 'b'),
            ('X-Expect-Instance', 'i-7'),
            ('X-Deadline-Ms', '1500'),
        )

    def test_fingerprint(self) -> None:
        """The fingerprint ignores request id, deadline and caller address."""
        first = _fingerprint()
        assert first == _fingerprint(
            HTTP_X_REQUEST_ID='another',
            HTTP_X_DEADLINE_MS='700',
            REMOTE_ADDR='10.0.0.77',
        )
        assert first != _fingerprint(REQUEST_METHOD='POST')
        assert first != _fingerprint(
            headers_raw=(('Authorization', 'Bearer a'),)
        )
        assert first != _fingerprint(body=b'x')

    def test_no_deadline(self) -> None:
        """The deadline header is optional."""
        environment = environ()
        environment.pop('HTTP_X_DEADLINE_MS')
        assert _CALLERS.read_request(environment, None).unwrap().left_ms is None

    @pytest.mark.parametrize(
        'changes',
        [
            {'HTTP_X_REQUEST_ID': ''},
            {'HTTP_X_DEADLINE_MS': 'soon'},
            {'HTTP_X_DEADLINE_MS': '-1'},
        ],
    )
    def test_refused(self, changes: dict[str, str]) -> None:
        """An invalid request is refused with 400."""
        refused = _CALLERS.read_request(environ(**changes), None).failure()
        answer = Refused(failure=refused, request_id=None)
        assert _CALLERS.write_answer(answer).status == 400


class TestAnswers:
    """Answers to callers."""

    def test_forwarded(self) -> None:
        """Status, headers and body of the response are forwarded."""
        answer = SignedResponse(
            status=207,
            headers=(('X-Server-Stamp', 's'),),
            body=b'x',
            signature='s',
        )
        reply = _CALLERS.write_answer(Forwarded(answer=answer))
        assert (reply.status, reply.body) == (207, b'x')
        assert reply.headers == answer.headers

    def test_merged(self) -> None:
        """Headers carry the signatures and the number of missing services."""
        merged = Merged(body=b'r', signatures=('a', 'b'), missing=1)
        reply = _CALLERS.write_answer(merged)
        assert dict(reply.headers) == {
            'X-Part-Stamps': 'a, b',
            'X-Parts-Missing': '1',
        }

    @pytest.mark.parametrize('code', FailureCode)
    def test_verdict_statuses(self, code: FailureCode) -> None:
        """A request that did not run has one status for each reason.

        Each of these statuses promises that the request did not run.
        """
        may_have_run_status = _status_code(may_have_run(code, ''))
        assert may_have_run_status in {502, 504}
        not_run_status = _status_code(not_run(code, '', retry_after_ms=250))
        assert not_run_status == _NOT_RUN_STATUSES.get(code, 503)

    def test_retry_after(self) -> None:
        """The retry time is sent in seconds with a fraction."""
        failure = not_run(FailureCode.NO_SERVER, '', retry_after_ms=250)
        answer = Refused(failure=failure, request_id=None)
        assert _CALLERS.write_answer(answer).headers == (
            ('Retry-After', '0.250'),
        )


class TestBackendResponses:
    """Responses of backend servers."""

    def test_success(self) -> None:
        """A complete response is decoded with the signature."""
        found = response(X_Server_Stamp='s', X_Request_Id='9', Date='now')
        answer = _BACKENDS.read_response(found).unwrap()
        assert (answer.status, answer.signature) == (200, 's')
        assert answer.body == b'0123'

    @pytest.mark.parametrize(
        ('found', 'verdict'),
        [
            (response(503, X_Not_Executed='1'), Verdict.NOT_RUN),
            (response(429, X_Not_Executed='1'), Verdict.NOT_RUN),
            (response(421, X_Instance_Id='i-8'), Verdict.NOT_RUN),
            (response(503), Verdict.MAY_HAVE_RUN),
            (response(503, X_Server_Stamp='s'), Verdict.MAY_HAVE_RUN),
            (response(429, X_Server_Stamp='s'), Verdict.MAY_HAVE_RUN),
            (response(408, X_Server_Stamp='s'), Verdict.MAY_HAVE_RUN),
            (response(200), Verdict.MAY_HAVE_RUN),
            (
                response(200, X_Server_Stamp='s', Content_Encoding='gzip'),
                Verdict.MAY_HAVE_RUN,
            ),
        ],
    )
    def test_failures(self, found: object, verdict: Verdict) -> None:
        """Only an explicit header or status means that nothing ran."""
        assert _BACKENDS.read_response(found).failure().verdict is verdict

    @pytest.mark.parametrize('headers', [{}, {'X_Not_Executed': '1'}])
    def test_misdirected(self, headers: dict[str, str]) -> None:
        """A 421 is an arrival, and no sign that the server is overloaded."""
        failure = _BACKENDS.read_response(response(421, **headers)).failure()
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.was_received
        assert failure.code is FailureCode.UNREACHABLE

    def test_mismatched_request_id(self) -> None:
        """A response to another request is rejected."""
        ask = _CALLERS.read_request(environ(), None).unwrap()
        call = _BACKENDS.write_request(ask, _SERVER, lambda: 100)
        matching = response(X_Request_Id=ask.request_id)
        assert call.check(matching).unwrap() is matching
        mismatched = call.check(response(X_Request_Id='another'))
        assert isinstance(mismatched, Failed)
        assert mismatched.failure().verdict is Verdict.MAY_HAVE_RUN
        without_id = attrs.evolve(matching, headers=())
        assert call.check(without_id).unwrap() is without_id


def _status_code(failure: object) -> int:
    answer = Refused(failure=failure, request_id='9')
    return _CALLERS.write_answer(answer).status
