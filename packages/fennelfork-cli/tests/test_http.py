"""Answers of a daemon to the operators' command that end early or are malformed.

Guards against a truncated or malformed answer that is reported as the outcome.
"""

import pytest
from daemon_builders_endings import Ending, cutting_server, truncations
from daemon_builders_prepared import prepared_server
from daemon_builders_response_forms import (
    MALFORMED,
    UNUSUAL,
    VALID,
    with_content,
)
from returns.pipeline import is_successful

from fennelfork import Verdict
from fennelfork_cli._http import ApiRequest, send_request

_PATCH = {'base': 4}
# Forms whose body can be replaced.
_WITH_LENGTH = {
    form: answer
    for form, answer in (VALID | UNUSUAL).items()
    if b'Content-Length: 16\r\n' in answer
}


def _answer(status: bytes, document: bytes) -> bytes:
    length = b'Content-Length: %d' % len(document)
    return b'HTTP/1.1 %s\r\n%s\r\n\r\n%s' % (status, length, document)


@pytest.mark.parametrize(
    'ending', [Ending.CLOSE, Ending.HALF_CLOSE, Ending.RESET]
)
class TestEarlyEnd:
    """Answers that end after each of their bytes."""

    @pytest.mark.parametrize(
        'answer',
        [
            _answer(b'200 OK', b'{"version": 5}'),
            _answer(b'409 Conflict', b'{"verdict": "not_run"}'),
        ],
    )
    def test_truncated_answer_may_have_run(
        self, ending: Ending, answer: bytes
    ) -> None:
        """A change with a truncated answer may be in force."""
        with cutting_server() as server:
            server.ending = ending
            for truncated in truncations(answer):
                server.response = truncated
                outcome = send_request(
                    ApiRequest(
                        address=str(server.address),
                        path='/v1/config/patch',
                        body=_PATCH,
                        timeout_ms=20_000,
                    )
                )
                assert not is_successful(outcome), server.response
                assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN


def _patch_request(address: str) -> ApiRequest:
    return ApiRequest(
        address=address,
        path='/v1/config/patch',
        body=_PATCH,
        timeout_ms=400,
    )


class TestMalformedAnswers:
    """Answers that break RFC 9112."""

    @pytest.mark.parametrize(
        ('status', 'document'),
        [(b'200', b'{"version": 5}'), (b'409', b'{"verdict": "not_run"}')],
    )
    def test_malformed_answer_may_have_run(
        self, status: bytes, document: bytes
    ) -> None:
        """A change with a malformed answer may be in force."""
        believed = []
        for form, answer in MALFORMED.items():
            with prepared_server(
                with_content(answer, status, document)
            ) as server:
                outcome = send_request(_patch_request(str(server.address)))
            if is_successful(outcome):
                believed.append(form)
            elif outcome.failure().verdict is not Verdict.MAY_HAVE_RUN:
                believed.append(form)
        assert not believed

    @pytest.mark.parametrize('form', sorted(_WITH_LENGTH))
    def test_valid_answer_is_read(self, form: str) -> None:
        """A usual or unusual answer of a healthy server is the outcome."""
        answer = with_content(_WITH_LENGTH[form], b'200', b'{"version": 5}')
        with prepared_server(answer) as server:
            outcome = send_request(_patch_request(str(server.address)))
        assert outcome.unwrap() == {'version': 5}
