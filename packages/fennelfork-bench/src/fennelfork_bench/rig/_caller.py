"""A caller as the brief has it: asks for addresses, keeps them, connects."""

import time
import uuid
from collections.abc import Mapping
from typing import Any, Final

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import RigError

_MS_PER_S: Final = 1000
_PAUSE_S: Final = 0.02
_DEADLINE_MS: Final = 5000
_ATTEMPT_MS: Final = 1500


@attrs.frozen(kw_only=True)
class Asked:
    """One request and what finally came back.

    Attributes:
        attempts: how many times it was sent.
        cuts: what was seen of attempts that got no answer at all.
        took_ms: from the first attempt to the last answer.
    """

    request_id: str
    reply: http.HttpReply
    attempts: int
    took_ms: float
    cuts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Ticket:
    """The right to send requests that run at most once to one daemon.

    Attributes:
        text: goes with each such request.
        serial: ends the id of each such request.
        address: the daemon that gave it.
    """

    text: str
    serial: str
    address: str


@attrs.define(kw_only=True)
class Caller:
    """Keeps one entry answer for its time and asks there.

    Attributes:
        seeds: addresses that it starts from.
        place: query string of `GET /v1/entries`.
    """

    seeds: tuple[str, ...]
    place: str = ''
    _entries: list[str] = attrs.field(factory=list)
    _ticket: Ticket | None = None
    _good_until_s: float = 0

    def entries(self) -> http.HttpReply:
        """Ask for addresses and keep them; the first answer is given back."""
        reply = http.HttpReply(status=0, body={})
        for seed in (*self._entries, *self.seeds):
            reply = http.get(seed, f'/v1/entries{self.place}', _ATTEMPT_MS)
            if reply.fine:
                break
        if reply.fine:
            listed = reply.body['entries']
            self._entries = [entry['address'] for entry in listed]
            self._ticket = _ticket(reply.body)
            kept_s = reply.body['ttl_ms'] / _MS_PER_S
            self._good_until_s = time.monotonic() + kept_s
        return reply

    def query(
        self,
        front: str,
        body: Mapping[str, Any],
        patience_ms: float = _DEADLINE_MS,
    ) -> Asked:
        """Ask a query, again at another address while time is left.

        Args:
            front: the search front.
            body: the request without its id.
            patience_ms: it is not sent again after this.
        """
        request_id = uuid.uuid4().hex
        path = f'/v1/fronts/{front}/query'
        full = {'request_id': request_id, 'deadline_ms': _ATTEMPT_MS, **body}
        started_s = time.monotonic()
        replies: list[http.HttpReply] = []
        while not replies or _may_help(replies[-1]):
            if replies and _since_ms(started_s) >= patience_ms:
                break
            address = self._address(len(replies))
            replies.append(http.post(address, path, full))
            if not replies[-1].fine:
                time.sleep(_PAUSE_S)
        return Asked(
            request_id=request_id,
            reply=replies[-1],
            attempts=len(replies),
            took_ms=_since_ms(started_s),
            cuts=tuple(each.fault for each in replies if not each.status),
        )

    def execute(self, front: str, body: Mapping[str, Any]) -> Asked:
        """Send a request that must run at most once, once.

        Args:
            front: the search front.
            body: the request without its id and ticket.

        Raises:
            RigError: if no daemon gave a ticket.
        """
        if time.monotonic() >= self._good_until_s:
            self.entries()
        ticket = self._ticket
        if ticket is None:
            raise RigError('no daemon gave a ticket')
        request_id = f'{uuid.uuid4().hex}@{ticket.serial}'
        started_s = time.monotonic()
        full = {
            'request_id': request_id,
            'deadline_ms': _DEADLINE_MS,
            'ticket': ticket.text,
            **body,
        }
        path = f'/v1/fronts/{front}/execute'
        reply = http.post(ticket.address, path, full)
        return Asked(
            request_id=request_id,
            reply=reply,
            attempts=1,
            took_ms=_since_ms(started_s),
        )

    def _address(self, attempt: int) -> str:
        if time.monotonic() >= self._good_until_s:
            self.entries()
        known = self._entries or list(self.seeds)
        return known[attempt % len(known)]


def _ticket(entries: Mapping[str, Any]) -> Ticket | None:
    if not entries.get('ticket'):
        return None
    return Ticket(
        text=entries['ticket'],
        serial=str(entries['ticket_serial']),
        address=entries['ticket_address'],
    )


def _may_help(reply: http.HttpReply) -> bool:
    # A problem without a time to come back will not change by asking again.
    return not reply.status or 'retry_after_ms' in reply.body


def _since_ms(started_s: float) -> float:
    return (time.monotonic() - started_s) * _MS_PER_S
