"""Caller that caches the entry addresses of a fleet and sends requests."""

import time
import uuid
from collections.abc import Mapping
from typing import Any, Final

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import RigError

_MS_PER_S: Final = 1000
_RETRY_DELAY_S: Final = 0.02
_DEADLINE_MS: Final = 5000
_ATTEMPT_TIMEOUT_MS: Final = 1500


@attrs.frozen(kw_only=True)
class RequestResult:
    """Outcome of one request after all of its attempts.

    Attributes:
        request_id: identifier that all attempts share.
        reply: response to the last attempt.
        attempts: number of attempts that were sent.
        took_ms: time from the first attempt to the last response.
        connection_errors: connection errors of the attempts without a response.
    """

    request_id: str
    reply: http.HttpResponse
    attempts: int
    took_ms: float
    connection_errors: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Ticket:
    """Ticket that binds non-idempotent requests to one daemon.

    Attributes:
        text: encoded ticket that each request carries.
        serial: suffix of the ID of each request under the ticket.
        address: caller address of the daemon that issued the ticket.
    """

    text: str
    serial: str
    address: str


@attrs.define(kw_only=True)
class Caller:
    """Caller that caches an entry answer until its TTL expires.

    Attributes:
        seeds: caller addresses for the first request for entries.
        entry_query: query string of `GET /v1/entries`.
    """

    seeds: tuple[str, ...]
    entry_query: str = ''
    _entries: list[str] = attrs.field(factory=list)
    _ticket: Ticket | None = None
    _expires_s: float = 0

    def fetch_entries(self) -> http.HttpResponse:
        """Fetch and cache the entries; return the last response."""
        reply = http.HttpResponse(status=0, body={})
        for seed in (*self._entries, *self.seeds):
            reply = http.get(
                seed, f'/v1/entries{self.entry_query}', _ATTEMPT_TIMEOUT_MS
            )
            if reply.is_success:
                break
        if reply.is_success:
            listed = reply.body['entries']
            self._entries = [entry['address'] for entry in listed]
            self._ticket = _parse_ticket(reply.body)
            ttl_s = reply.body['ttl_ms'] / _MS_PER_S
            self._expires_s = time.monotonic() + ttl_s
        return reply

    def query(
        self,
        front: str,
        body: Mapping[str, Any],
        retry_timeout_ms: float = _DEADLINE_MS,
    ) -> RequestResult:
        """Send a query and retry at other addresses until the timeout.

        Args:
            front: name of the search front.
            body: request body without the request ID.
            retry_timeout_ms: time after which no further retry is sent.
        """
        request_id = uuid.uuid4().hex
        path = f'/v1/fronts/{front}/query'
        request = {
            'request_id': request_id,
            'deadline_ms': _ATTEMPT_TIMEOUT_MS,
            **body,
        }
        started_s = time.monotonic()
        replies: list[http.HttpResponse] = []
        while not replies or _is_retryable(replies[-1]):
            if replies and _elapsed_ms(started_s) >= retry_timeout_ms:
                break
            address = self._select_address(len(replies))
            replies.append(http.post(address, path, request))
            if not replies[-1].is_success:
                time.sleep(_RETRY_DELAY_S)
        return RequestResult(
            request_id=request_id,
            reply=replies[-1],
            attempts=len(replies),
            took_ms=_elapsed_ms(started_s),
            connection_errors=tuple(
                each.fault for each in replies if not each.status
            ),
        )

    def execute(self, front: str, body: Mapping[str, Any]) -> RequestResult:
        """Send one attempt of a non-idempotent request.

        Args:
            front: name of the search front.
            body: request body without the request ID and the ticket.

        Raises:
            RigError: if no daemon issued a ticket.
        """
        if time.monotonic() >= self._expires_s:
            self.fetch_entries()
        ticket = self._ticket
        if ticket is None:
            raise RigError('no daemon issued a ticket')
        request_id = f'{uuid.uuid4().hex}@{ticket.serial}'
        started_s = time.monotonic()
        request = {
            'request_id': request_id,
            'deadline_ms': _DEADLINE_MS,
            'ticket': ticket.text,
            **body,
        }
        path = f'/v1/fronts/{front}/execute'
        reply = http.post(ticket.address, path, request)
        return RequestResult(
            request_id=request_id,
            reply=reply,
            attempts=1,
            took_ms=_elapsed_ms(started_s),
        )

    def _select_address(self, attempt: int) -> str:
        if time.monotonic() >= self._expires_s:
            self.fetch_entries()
        addresses = self._entries or list(self.seeds)
        return addresses[attempt % len(addresses)]


def _parse_ticket(answer: Mapping[str, Any]) -> Ticket | None:
    if not answer.get('ticket'):
        return None
    return Ticket(
        text=answer['ticket'],
        serial=str(answer['ticket_serial']),
        address=answer['ticket_address'],
    )


def _is_retryable(reply: http.HttpResponse) -> bool:
    # A problem without `retry_after_ms` is permanent.
    return not reply.status or 'retry_after_ms' in reply.body


def _elapsed_ms(started_s: float) -> float:
    return (time.monotonic() - started_s) * _MS_PER_S
