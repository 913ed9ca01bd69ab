"""Calls of the store whose responses state an era.

Guards against a response of a restored store that is believed although its
revisions and leases have another meaning.
"""

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from daemon_builders_endings import CuttingServer, cutting_server
from daemon_builders_routes import member
from returns.pipeline import is_successful

from fennelfork import Verdict
from fennelfork.routes import EraChange, WatchTimeouts
from fennelfork_platform._store import PlatformStore, platform_store

_TIMEOUTS = WatchTimeouts(wait_ms=0, response_ms=2000)
_LISTING_MS = 2000.0
_LISTED = b'{"AtRev": 9, "items": [], "events": [], "LeaseId": 4}'
_Call = Callable[[PlatformStore], Any]
_CALLS: dict[str, tuple[int, _Call]] = {
    'listing': (
        200,
        lambda store: store.list_all(_LISTING_MS, may_be_stale=False),
    ),
    'watch': (200, lambda store: store.watch(5, _TIMEOUTS)),
    'compacted': (410, lambda store: store.watch(5, _TIMEOUTS)),
    'lease': (200, lambda store: store.open_lease(3000)),
    'renewal': (200, lambda store: store.renew(7)),
    'expired': (404, lambda store: store.renew(7)),
    'entry': (200, lambda store: store.register(member('vm-1'), 7)),
    'condition': (412, lambda store: store.register(member('vm-1'), 7)),
}


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    """Run a server with prepared responses."""
    with cutting_server() as running:
        yield running


def _response(status: int, *fields: bytes) -> bytes:
    lines = (
        b'HTTP/1.1 %d Status' % status,
        b'Content-Length: %d' % len(_LISTED),
        b'Connection: close',
        *fields,
        b'\r\n',
    )
    return b'\r\n'.join(lines) + _LISTED


def _store_in_era(server: CuttingServer, number: int) -> PlatformStore:
    """Return the client of a store that has stated an era."""
    store = platform_store(server.address)
    server.response = _response(200, b'Store-Era: %d' % number)
    assert is_successful(store.renew(7))
    assert store.era.number == number
    return store


@pytest.mark.parametrize('call', _CALLS)
class TestEra:
    """Every call reads the era of its response."""

    def test_same_era(self, server: CuttingServer, call: str) -> None:
        """A response of the same era is used."""
        status, send = _CALLS[call]
        store = _store_in_era(server, 3)
        server.response = _response(status, b'store-era: 3')
        assert is_successful(send(store))

    def test_other_era(self, server: CuttingServer, call: str) -> None:
        """A response of another era is not used; the next one is."""
        status, send = _CALLS[call]
        store = _store_in_era(server, 3)
        changes: list[EraChange] = []
        store.era.add_listener(changes.append)
        server.response = _response(status, b'Store-Era: 4')
        failure = send(store).failure()
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert failure.detail == 'the call was sent in era 3, now era 4'
        assert changes == [EraChange(previous=3, current=4)]
        assert is_successful(send(store))

    def test_no_era(self, server: CuttingServer, call: str) -> None:
        """A response without an era is used."""
        status, send = _CALLS[call]
        store = _store_in_era(server, 3)
        server.response = _response(status)
        assert is_successful(send(store))
        assert store.era.number == 3

    @pytest.mark.parametrize('stated', [b'', b'x', b'-1', b'1.5', b'1' * 19])
    def test_invalid_era(
        self, server: CuttingServer, call: str, stated: bytes
    ) -> None:
        """An era that is not a number makes the response invalid."""
        status, send = _CALLS[call]
        store = _store_in_era(server, 3)
        server.response = _response(status, b'Store-Era: %b' % stated)
        assert 'Store-Era' in send(store).failure().detail
        assert store.era.number == 3


@pytest.mark.parametrize('status', [429, 503])
def test_refused_call(server: CuttingServer, status: int) -> None:
    """A call that the store refuses tells the era as well."""
    store = _store_in_era(server, 3)
    server.response = _response(status, b'Store-Era: 4')
    assert not is_successful(store.renew(7))
    assert store.era.number == 4
