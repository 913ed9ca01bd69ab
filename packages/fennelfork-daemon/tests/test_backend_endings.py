"""Responses of backend servers that end early.

Guards against a truncated response that is accepted as complete.
"""

from collections.abc import Iterator

import pytest
from daemon_builders_endings import (
    CuttingServer,
    Ending,
    cutting_server,
    truncations,
)
from returns.pipeline import is_successful

from fennelfork import FailureCode, Verdict
from fennelfork_daemon.backend._connection import backend_connection
from fennelfork_daemon.backend._request import JsonRequest

_MAX_BYTES = 1000
_SILENCE_MS = 30
_HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: 3e1b.07.c9f2\r\n'
_WITH_LENGTH = b'%sContent-Length: 12\r\n\r\nrecords of 1' % _HEAD
_CHUNKED = (
    b'%sTransfer-Encoding: chunked\r\n\r\n'
    b'0c\r\nrecords of 1\r\n03;x=1\r\n234\r\n00\r\nX-Trailer: 1\r\n\r\n'
) % _HEAD
_WITHOUT_LENGTH = b'%sConnection: close\r\n\r\n' % _HEAD
_WITHOUT_BODY = b'HTTP/1.1 204 No Content\r\nX-Server-Stamp: 3e1b\r\n\r\n'
_CONTINUED = b'HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n%s' % _WITH_LENGTH
_RESPONSES = pytest.mark.parametrize(
    'response',
    [_WITH_LENGTH, _CHUNKED, _WITHOUT_LENGTH, _WITHOUT_BODY, _CONTINUED],
    ids=['length', 'chunked', 'no-length', 'no-body', 'continued'],
)


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    """Run a server that ends its responses early."""
    with cutting_server() as running:
        yield running


def _exchange(
    server: CuttingServer, response: bytes, timeout_ms: float = 20_000
) -> object:
    """Return the outcome of one request on a new connection."""
    server.response = response
    request = JsonRequest(path='/v1/search', body={}, timeout_ms=timeout_ms)
    connection = backend_connection(server.address, _MAX_BYTES)
    connection.open(request.timeout_ms)
    outcome = connection.exchange(request)
    connection.close()
    return outcome


class TestEarlyEnd:
    """Responses that end after each of their bytes."""

    @_RESPONSES
    @pytest.mark.parametrize(
        'ending', [Ending.CLOSE, Ending.HALF_CLOSE, Ending.RESET]
    )
    def test_truncated_response_is_a_failure(
        self, server: CuttingServer, response: bytes, ending: Ending
    ) -> None:
        """The part is missing, and the request may have run."""
        server.ending = ending
        for truncated in truncations(response):
            outcome = _exchange(server, truncated)
            assert not is_successful(outcome), truncated
            assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN

    @_RESPONSES
    def test_silence_is_a_failure(
        self, server: CuttingServer, response: bytes
    ) -> None:
        """A server that falls silent within a response is a timeout."""
        server.ending = Ending.SILENCE
        for truncated in truncations(response)[::9]:
            outcome = _exchange(server, truncated, _SILENCE_MS)
            assert not is_successful(outcome), truncated
            assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN
            assert not outcome.failure().connection_lost

    @_RESPONSES
    def test_complete_response_is_accepted(
        self, server: CuttingServer, response: bytes
    ) -> None:
        """The end of the connection after a response changes nothing."""
        assert is_successful(_exchange(server, response))

    def test_reset_within_headers_is_no_refusal(
        self, server: CuttingServer
    ) -> None:
        """Only a reset before the response means a server without room."""
        server.ending = Ending.RESET
        codes = [
            _exchange(server, _WITH_LENGTH[:end]).failure().code
            for end in (0, len(_HEAD))
        ]
        assert codes == [FailureCode.SHED, FailureCode.UNREACHABLE]


class TestMalformedHeaders:
    """Header lines without a colon, which hide the lines after them."""

    @pytest.mark.parametrize('dropped_bytes', [0, 4])
    def test_hidden_length_is_a_failure(
        self, server: CuttingServer, dropped_bytes: int
    ) -> None:
        """A body whose length is hidden may be truncated."""
        head, _, rest = _WITH_LENGTH.partition(b'Content-Length')
        response = b'%sno header\r\nContent-Length%s' % (head, rest)
        truncated = response[: len(response) - dropped_bytes]
        outcome = _exchange(server, truncated)
        assert not is_successful(outcome)
        assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN


class TestBodyWithoutLength:
    """A response without a length ends with its connection."""

    @pytest.mark.parametrize('ending', [Ending.CLOSE, Ending.HALF_CLOSE])
    def test_close_completes_the_body(
        self, server: CuttingServer, ending: Ending
    ) -> None:
        """An orderly end is the only mark of a complete body."""
        server.ending = ending
        outcome = _exchange(server, b'%srecords' % _WITHOUT_LENGTH)
        assert outcome.unwrap().body == b'records'

    def test_reset_truncates_the_body(self, server: CuttingServer) -> None:
        """A reset never completes a body."""
        server.ending = Ending.RESET
        outcome = _exchange(server, b'%srecords' % _WITHOUT_LENGTH)
        assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN
