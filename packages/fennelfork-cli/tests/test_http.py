"""Answers of a daemon to the operators' command that end early.

Guards against a truncated answer that is reported as the outcome.
"""

import pytest
from daemon_builders_endings import Ending, cutting_server, truncations
from returns.pipeline import is_successful

from fennelfork import Verdict
from fennelfork_cli._http import ApiRequest, send_request

_PATCH = {'base': 4}


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
