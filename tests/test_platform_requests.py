"""Requests and answers, to and from callers and backend servers."""

from typing import Any

import attrs
import pytest
from platform_builders import environ, response
from returns.result import Failure as Bad

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork.routes import BackendServer
from fennelfork_daemon.routes import Forwarded, Merged, Refused, SignedResponse
from fennelfork_platform._backends import PlatformBackends
from fennelfork_platform._callers import PlatformCallers

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
    """Give the fingerprint of a request."""
    fields = {'REMOTE_ADDR': '10.0.0.9', **changes}
    return str(
        _CALLERS.read_request(environ(**fields), body).unwrap().fingerprint
    )


class TestAsk:
    """A caller's request."""

    def test_passed_on(self) -> None:
        """Unchanged, but for headers of one connection and our own."""
        ask = _CALLERS.read_request(environ(), None).unwrap()
        assert (ask.target, ask.path) == ('/rafts/7?full=1', '/rafts/7')
        assert ask.host == 'rafts.example'
        call = _BACKENDS.write_request(ask, _SERVER, 1500.9)
        assert call.target == ask.target
        assert call.headers == (
            ('Host', 'Rafts.example:80'),
            ('X-Request-Id', '9c41d07be2a35f68'),
            ('Accept', 'a'),
            ('Accept', 'b'),
            ('X-Deadline-Ms', '1500'),
            ('X-Expect-Instance', 'i-7'),
        )

    def test_comes_again(self) -> None:
        """A request is known by what servers see of it, not by its try."""
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
        """A caller may say nothing of how long it waits."""
        found = environ()
        found.pop('HTTP_X_DEADLINE_MS')
        assert _CALLERS.read_request(found, None).unwrap().left_ms is None

    @pytest.mark.parametrize(
        'changes',
        [
            {'HTTP_X_REQUEST_ID': ''},
            {'HTTP_X_DEADLINE_MS': 'soon'},
            {'HTTP_X_DEADLINE_MS': '-1'},
        ],
    )
    def test_refused(self, changes: dict[str, str]) -> None:
        """A request that cannot be understood did not run."""
        refused = _CALLERS.read_request(environ(**changes), None).failure()
        answer = Refused(failure=refused, request_id=None)
        assert _CALLERS.write_answer(answer).status == 400


class TestAnswers:
    """What callers are answered."""

    def test_forwarded(self) -> None:
        """Status, headers and body of the server."""
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
        """Signatures of the parts, and how many are missing."""
        merged = Merged(body=b'r', signatures=('a', 'b'), missing=1)
        reply = _CALLERS.write_answer(merged)
        assert dict(reply.headers) == {
            'X-Part-Stamps': 'a, b',
            'X-Parts-Missing': '1',
        }

    @pytest.mark.parametrize('code', FailureCode)
    def test_promises(self, code: FailureCode) -> None:
        """503 and the like only where nothing ran."""
        ran = _status(may_have_run(code, ''))
        assert ran in {502, 504}
        refused = _status(not_run(code, '', retry_after_ms=250))
        assert refused in {400, 404, 503}

    def test_retry_after(self) -> None:
        """In seconds, with a fraction."""
        failure = not_run(FailureCode.NO_SERVER, '', retry_after_ms=250)
        answer = Refused(failure=failure, request_id=None)
        assert _CALLERS.write_answer(answer).headers == (
            ('Retry-After', '0.250'),
        )


class TestBackendAnswers:
    """What backend servers answer."""

    def test_success(self) -> None:
        """A whole answer with its signature."""
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
            (response(200), Verdict.MAY_HAVE_RUN),
            (
                response(200, X_Server_Stamp='s', Content_Encoding='gzip'),
                Verdict.MAY_HAVE_RUN,
            ),
        ],
    )
    def test_failures(self, found: object, verdict: Verdict) -> None:
        """Only the server's own word says that nothing ran."""
        assert _BACKENDS.read_response(found).failure().verdict is verdict

    def test_crossed(self) -> None:
        """The answer to another request is refused, its connection closed."""
        ask = _CALLERS.read_request(environ(), None).unwrap()
        call = _BACKENDS.write_request(ask, _SERVER, 100)
        own = response(X_Request_Id=ask.request_id)
        assert call.check(own).unwrap() is own
        crossed = call.check(response(X_Request_Id='another'))
        assert isinstance(crossed, Bad)
        assert crossed.failure().verdict is Verdict.MAY_HAVE_RUN
        unnamed = attrs.evolve(own, headers=())
        assert call.check(unnamed).unwrap() is unnamed


def _status(failure: object) -> int:
    answer = Refused(failure=failure, request_id='9')
    return _CALLERS.write_answer(answer).status
