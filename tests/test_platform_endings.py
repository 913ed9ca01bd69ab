"""Responses of the store and of other daemons that end early.

Guards against a status that is believed before its response is complete.
"""

import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import pytest
from daemon_builders_endings import (
    CuttingServer,
    Ending,
    cutting_server,
    truncations,
)
from daemon_builders_endless import RESPONSE_FORMS, endless_server
from daemon_builders_prepared import prepared_server
from daemon_builders_response_forms import MALFORMED, with_content
from daemon_builders_routes import member
from returns.pipeline import is_successful

from fennelfork import Verdict
from fennelfork.routes import StorePosition, WatchTimeouts
from fennelfork_daemon.routes import HistoryCompacted
from fennelfork_platform._relay import platform_relays
from fennelfork_platform._store import PlatformStore, platform_store

_AFTER = StorePosition(revision=5)
_TIMEOUTS = WatchTimeouts(wait_ms=0, response_ms=5000)
_SHORT = WatchTimeouts(wait_ms=0, response_ms=500)
# Twice the timeouts of the three calls.
_MAX_CALLS_S = 8
_MAX_REFUSAL_S = 0.5
_RELAYED = (
    b'{"events": [], "revision": 9, "age_ms": 1, "is_connected": true, '
    b'"outage_end_age_ms": null}'
)
_DEEP = b'[' * 100_000
_WATCHED = b'{"AtRev": 9, "events": []}'
_Call = Callable[[PlatformStore], Any]
_CALLS: dict[str, tuple[int, _Call]] = {
    'lease-has-ended': (404, lambda store: store.renew(7)),
    'condition-failed': (412, lambda store: store.register(member('vm-1'), 7)),
    'history-is-gone': (410, lambda store: store.watch(5, _TIMEOUTS)),
    'not-executed': (503, lambda store: store.renew(7)),
    'renewed': (200, lambda store: store.renew(7)),
    'watched': (200, lambda store: store.watch(5, _TIMEOUTS)),
}


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    """Run a server that ends its responses early."""
    with cutting_server() as running:
        yield running


def _response(status: int, coding: str) -> bytes:
    head = b'HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n' % status
    if coding == 'length':
        length = b'Content-Length: %d\r\n\r\n' % len(_WATCHED)
        return head + length + _WATCHED
    chunk = b'%04x\r\n%s\r\n' % (len(_WATCHED), _WATCHED)
    return b'%sTransfer-Encoding: chunked\r\n\r\n%s00\r\n\r\n' % (head, chunk)


@pytest.mark.parametrize('coding', ['length', 'chunked'])
@pytest.mark.parametrize(
    'ending', [Ending.CLOSE, Ending.HALF_CLOSE, Ending.RESET]
)
class TestStore:
    """Calls of the store whose responses end after each of their bytes."""

    @pytest.mark.parametrize('call', _CALLS)
    def test_truncated_response_is_not_believed(
        self, server: CuttingServer, call: str, ending: Ending, coding: str
    ) -> None:
        """The call may have run, and nothing is known about its outcome."""
        server.ending = ending
        status, send = _CALLS[call]
        for truncated in truncations(_response(status, coding)):
            server.response = truncated
            outcome = send(platform_store(server.address))
            assert not is_successful(outcome), server.response
            assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize('status', [200, 410])
    def test_truncated_relay_is_not_believed(
        self, server: CuttingServer, status: int, ending: Ending, coding: str
    ) -> None:
        """A daemon keeps its revision and asks another source."""
        server.ending = ending
        for truncated in truncations(_response(status, coding)):
            server.response = truncated
            fetched = platform_relays().fetch(
                str(server.address), _AFTER, _TIMEOUTS
            )
            assert not is_successful(fetched), server.response


@pytest.mark.parametrize('form', sorted(RESPONSE_FORMS))
class TestEndlessResponses:
    """Responses of the store and of other daemons that never end.

    Guards against a call that holds the daemon as long as bytes arrive.
    """

    @pytest.mark.parametrize('is_slow', [True, False])
    def test_endless_response_is_not_believed(
        self, form: str, is_slow: bool
    ) -> None:
        """The calls fail in time, and may have run."""
        endless = attrs.evolve(RESPONSE_FORMS[form], is_slow=is_slow)
        with endless_server(endless) as sending:
            began_s = time.monotonic()
            renewed = platform_store(sending.address).renew(7)
            watched = platform_store(sending.address).watch(5, _SHORT)
            fetched = platform_relays().fetch(
                str(sending.address), _AFTER, _SHORT
            )
            took_s = time.monotonic() - began_s
        for outcome in (renewed, watched, fetched):
            assert not is_successful(outcome)
        assert renewed.failure().verdict is Verdict.MAY_HAVE_RUN
        assert took_s < _MAX_CALLS_S


def test_deep_document_is_not_believed(server: CuttingServer) -> None:
    """A document that is nested too deeply does not end the caller."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(_DEEP)
    server.response = head + _DEEP
    for call in ('renewed', 'watched'):
        outcome = _CALLS[call][1](platform_store(server.address))
        assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN
    fetched = platform_relays().fetch(str(server.address), _AFTER, _TIMEOUTS)
    assert not is_successful(fetched)


@pytest.mark.parametrize('form', sorted(MALFORMED))
class TestMalformedResponses:
    """Malformed responses of the store and of other daemons.

    Guards against the status or the document of a malformed response that is
    believed.
    """

    @pytest.mark.parametrize('call', _CALLS)
    def test_malformed_response_is_not_believed(
        self, form: str, call: str
    ) -> None:
        """The call may have run, and nothing is known about its outcome."""
        status, send = _CALLS[call]
        malformed = with_content(MALFORMED[form], b'%d' % status, _WATCHED)
        with prepared_server(malformed) as server:
            began_s = time.monotonic()
            failure = send(platform_store(server.address)).failure()
            assert time.monotonic() - began_s < _MAX_REFUSAL_S
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert failure.detail.startswith('MalformedMessage: ')

    @pytest.mark.parametrize('status', [b'200', b'410'])
    def test_malformed_relay_is_not_believed(
        self, form: str, status: bytes
    ) -> None:
        """A daemon keeps its revision and asks another source."""
        with prepared_server(
            with_content(MALFORMED[form], status, _RELAYED)
        ) as server:
            fetched = platform_relays().fetch(
                str(server.address), _AFTER, _TIMEOUTS
            )
        assert fetched.failure().detail.startswith('MalformedMessage: ')


def test_complete_status_is_believed(server: CuttingServer) -> None:
    """The same responses are accepted when they are complete."""
    server.response = _response(404, 'chunked')
    assert platform_store(server.address).renew(7).unwrap() is False
    server.response = _response(410, 'length')
    watched = platform_store(server.address).watch(5, _TIMEOUTS)
    assert watched.unwrap() == HistoryCompacted()
    server.response = _response(200, 'chunked')
    watched = platform_store(server.address).watch(5, _TIMEOUTS)
    assert watched.unwrap().revision == 9
