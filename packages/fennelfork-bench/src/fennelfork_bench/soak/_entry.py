"""Entries of the caller API: daemon addresses and a ticket."""

import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import wait_until

_REQUEST_TIMEOUT_MS: Final = 500
_ENTRIES_TIMEOUT_S: Final = 30


@attrs.frozen(kw_only=True)
class Entry:
    """Answer of a daemon to `GET /v1/entries`.

    Attributes:
        addresses: caller addresses of daemons, best first.
        expires_at_ms: time at which the entry expires, in milliseconds.
        ticket: token that binds executions to one daemon.
        serial: name of the ticket in the request ids of executions.
    """

    addresses: tuple[str, ...]
    expires_at_ms: float
    ticket: str
    serial: str


@attrs.define(kw_only=True)
class EntryCache:
    """Cache of one entry until its expiry.

    Attributes:
        known_addresses: function that returns caller addresses of daemons.
    """

    known_addresses: Callable[[], Sequence[str]]
    _clock: Clock
    _randomness: random.Random
    _entry: Entry | None = None

    def current(self) -> Entry | None:
        """Return a valid entry, or `None` if no daemon provides one."""
        entry = self._entry
        if entry is None or self._clock.now_ms() >= entry.expires_at_ms:
            self._entry = self._fetch()
        return self._entry

    def invalidate(self) -> None:
        """Discard the cached entry."""
        self._entry = None

    def _fetch(self) -> Entry | None:
        known_addresses = list(self.known_addresses())
        self._randomness.shuffle(known_addresses)
        for address in known_addresses:
            asked_ms = self._clock.now_ms()
            reply = http.get(address, '/v1/entries', _REQUEST_TIMEOUT_MS)
            # A leaving daemon lists other daemons but issues no ticket.
            if reply.is_success and reply.body['ticket']:
                return _parse_entry(reply.body, asked_ms)
        return None


def await_entries(fleet: Fleet) -> None:
    """Wait until every daemon returns all daemons from `GET /v1/entries`.

    Raises:
        RigError: if a daemon is still missing after the timeout.
    """
    all_addresses = set(fleet.callers)
    wait_until(
        lambda: all(
            _listed_addresses(each) == all_addresses for each in all_addresses
        ),
        _ENTRIES_TIMEOUT_S,
        'the entries of every daemon to list all daemons',
    )


def _listed_addresses(address: str) -> set[str]:
    reply = http.get(address, '/v1/entries', _REQUEST_TIMEOUT_MS)
    return {each['address'] for each in reply.body.get('entries', ())}


def _parse_entry(body: dict[str, Any], asked_ms: float) -> Entry:
    return Entry(
        addresses=tuple(each['address'] for each in body['entries']),
        expires_at_ms=asked_ms + body['ttl_ms'],
        ticket=body['ticket'],
        serial=body['ticket_serial'],
    )
