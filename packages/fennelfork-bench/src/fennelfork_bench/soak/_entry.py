"""Asks the system which of its addresses to use, as callers do."""

import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import wait_until

_TIMEOUT_MS: Final = 500
_KNOWN_CAP_S: Final = 30


@attrs.frozen(kw_only=True)
class Entry:
    """What one entry answer says.

    Attributes:
        addresses: caller addresses of daemons, best first.
        until_ms: end of the time in which it may be used.
        ticket: binds executions to one daemon.
        serial: names the ticket in the ids of its executions.
    """

    addresses: tuple[str, ...]
    until_ms: float
    ticket: str
    serial: str


@attrs.define(kw_only=True)
class EntryBook:
    """Keeps one entry answer for as long as it says.

    Attributes:
        known: gives addresses of daemons that may be asked.
    """

    known: Callable[[], Sequence[str]]
    _clock: Clock
    _randomness: random.Random
    _entry: Entry | None = None

    def current(self) -> Entry | None:
        """Give a valid entry; none if no daemon gives one now."""
        entry = self._entry
        if entry is None or self._clock.now_ms() >= entry.until_ms:
            self._entry = self._ask()
        return self._entry

    def forget(self) -> None:
        """Ask anew before the next request."""
        self._entry = None

    def _ask(self) -> Entry | None:
        known = list(self.known())
        self._randomness.shuffle(known)
        for address in known:
            asked_ms = self._clock.now_ms()
            reply = http.get(address, '/v1/entries', _TIMEOUT_MS)
            # A daemon that leaves still names others, but gives no ticket.
            if reply.fine and reply.body['ticket']:
                return _entry(reply.body, asked_ms)
        return None


def await_entries(fleet: Fleet) -> None:
    """Wait until every daemon names every daemon to callers.

    Raises:
        RigError: if that does not come within 30 s.
    """
    everyone = set(fleet.callers)
    wait_until(
        lambda: all(_named_by(each) == everyone for each in everyone),
        _KNOWN_CAP_S,
        'all daemons in every entry answer',
    )


def _named_by(address: str) -> set[str]:
    reply = http.get(address, '/v1/entries', _TIMEOUT_MS)
    return {each['address'] for each in reply.body.get('entries', ())}


def _entry(body: dict[str, Any], asked_ms: float) -> Entry:
    return Entry(
        addresses=tuple(each['address'] for each in body['entries']),
        until_ms=asked_ms + body['ttl_ms'],
        ticket=body['ticket'],
        serial=body['ticket_serial'],
    )
