"""Responses of backend servers that break RFC 9112, on kept connections.

Guards against a malformed response that is accepted, against a valid one that is
refused, and against a kept connection that delivers the wrong next response.
"""

import time
from collections.abc import Iterator

import attrs
import pytest
from daemon_builders_prepared import (
    REQUEST_ID,
    PreparedServer,
    heads_with_replaced_byte,
    prepared_server,
)
from daemon_builders_response_forms import (
    CHUNK_FORMS,
    FIELD_FORMS,
    LENGTH_FORMS,
    MALFORMED,
    STATUS_FORMS,
    SURPLUS,
    UNUSUAL,
    VALID,
    with_content,
)
from daemon_builders_strict import (
    Malformed,
    StrictResponse,
    Unfinished,
    is_valid_response,
    read_strictly,
)
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Failure, FailureCode, Verdict, system_clock
from fennelfork.servers import ConnectionLedger
from fennelfork_daemon.backend._client import BackendClient
from fennelfork_daemon.backend._pool import (
    BackendPool,
    ConnectionTrace,
    backend_pool,
)
from fennelfork_daemon.backend._request import BackendResponse, ForwardRequest

_TIMEOUT_MS = 20_000.0
_MAX_BYTES = 200_000
_MAX_REFUSAL_S = 1.0
_ID = 'request-7'
_NEXT = 'next'


@attrs.define(kw_only=True)
class Exchanges:
    """Requests to a server whose connections are kept."""

    server: PreparedServer
    pool: BackendPool

    def send(self, name: str) -> Result[BackendResponse, Failure]:
        """Send the request for one response of the server."""
        request = ForwardRequest(
            method='GET',
            target=f'/one/{name}',
            headers=(('Host', 'x'), ('X-Request-Id', _ID)),
            body=None,
            timeout_ms=_TIMEOUT_MS,
            connect_ms=_TIMEOUT_MS,
        )
        return self.pool.exchange(request, ConnectionTrace())

    def check(self, response: bytes) -> None:
        """Check one response and the response to the next request."""
        self.server.responses['case'] = response
        expected = _read(response)
        began_s = time.monotonic()
        outcome = self.send('case')
        took_s = time.monotonic() - began_s
        assert took_s < _MAX_REFUSAL_S, response
        if isinstance(expected, StrictResponse):
            assert is_successful(outcome), (response, outcome)
            _check_equal(outcome.unwrap(), expected)
        else:
            assert not is_successful(outcome), (response, outcome)
            assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN
        if isinstance(expected, Malformed):
            assert outcome.failure().code is FailureCode.BAD_REPLY, response
            assert not outcome.failure().connection_lost
        valid = _read(self.server.valid)
        assert isinstance(valid, StrictResponse)
        _check_equal(self.send(_NEXT).unwrap(), valid)


@pytest.fixture
def exchanges() -> Iterator[Exchanges]:
    """Run a server and a pool of connections to it."""
    with prepared_server(VALID['length']) as server:
        pool = _pool(server)
        yield Exchanges(server=server, pool=pool)
        pool.close()


def _pool(server: PreparedServer) -> BackendPool:
    return backend_pool(
        server.address,
        ConnectionLedger(limit=4),
        system_clock(),
        _MAX_BYTES,
        probe=None,
    )


def _read(response: bytes) -> StrictResponse | Malformed | Unfinished:
    """Return what a strict reader makes of a response."""
    sent = response.replace(REQUEST_ID, _ID.encode())
    try:
        return read_strictly(sent, is_closed=True)
    except (Malformed, Unfinished) as error:
        return error


def _check_equal(response: BackendResponse, expected: StrictResponse) -> None:
    assert response.status == expected.status
    assert response.body == expected.body
    # urllib3 groups fields with the same name.
    assert sorted(
        (name.lower().encode(), text.encode('latin-1'))
        for name, text in response.headers
    ) == sorted((name.lower(), text) for name, text in expected.fields)


@pytest.mark.parametrize('form', sorted(STATUS_FORMS))
def test_malformed_status_line(exchanges: Exchanges, form: str) -> None:
    """A response with a malformed status line fails at once."""
    exchanges.check(STATUS_FORMS[form])


@pytest.mark.parametrize('form', sorted(FIELD_FORMS))
def test_malformed_field_line(exchanges: Exchanges, form: str) -> None:
    """A response with a malformed header field fails at once."""
    exchanges.check(FIELD_FORMS[form])


@pytest.mark.parametrize('form', sorted(LENGTH_FORMS))
def test_malformed_length(exchanges: Exchanges, form: str) -> None:
    """A response with a malformed or ambiguous body length fails at once."""
    exchanges.check(LENGTH_FORMS[form])


@pytest.mark.parametrize('form', sorted(CHUNK_FORMS))
def test_malformed_chunks(exchanges: Exchanges, form: str) -> None:
    """A response with malformed chunks fails at once."""
    exchanges.check(CHUNK_FORMS[form])


@pytest.mark.parametrize('form', sorted(UNUSUAL))
def test_unusual_response(exchanges: Exchanges, form: str) -> None:
    """An unusual response of a healthy server is accepted unchanged."""
    assert is_valid_response(UNUSUAL[form], is_closed=True)
    exchanges.check(UNUSUAL[form])


@pytest.mark.parametrize('form', sorted(VALID))
def test_each_byte_of_the_head(exchanges: Exchanges, form: str) -> None:
    """A response with one replaced byte is read as RFC 9112 defines."""
    exchanges.server.valid = VALID[form]
    for changed in heads_with_replaced_byte(VALID[form]):
        exchanges.check(changed)


@pytest.mark.parametrize('form', sorted(MALFORMED))
def test_malformed_health(form: str) -> None:
    """A health report in a malformed response is ignored."""
    report = b'{"state": "ready", "snapshots": []}'
    with prepared_server(
        with_content(MALFORMED[form], b'200', report)
    ) as server:
        client = BackendClient(pool=_pool(server))
        outcome = client.health(_TIMEOUT_MS)
        client.pool.close()
    assert outcome.failure().code is FailureCode.BAD_REPLY


def test_deep_health() -> None:
    """A health report that is nested too deeply is ignored."""
    deep = b'[' * 100_000
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(deep)
    with prepared_server(head + deep) as server:
        client = BackendClient(pool=_pool(server))
        outcome = client.health(_TIMEOUT_MS)
        client.pool.close()
    assert outcome.failure().code is FailureCode.BAD_REPLY


def test_strict_reader_refuses_the_forms() -> None:
    """Each form breaks a rule of RFC 9112."""
    for form, response in MALFORMED.items():
        assert isinstance(_read(response), Malformed), form


@pytest.mark.parametrize('form', sorted(SURPLUS))
def test_surplus_ends_the_connection(exchanges: Exchanges, form: str) -> None:
    """The response counts, and the next one comes on another connection."""
    exchanges.check(SURPLUS[form])
    assert exchanges.server.connections == 2


def test_connection_is_kept(exchanges: Exchanges) -> None:
    """Valid responses leave the connection usable."""
    for response in (VALID['length'], VALID['chunks'], VALID['length']):
        exchanges.check(response)
    assert exchanges.server.connections == 1
