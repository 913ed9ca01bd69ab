"""Tickets: the one incarnation that may run a non-idempotent request.

A ticket names an incarnation of a daemon and ends at a reading of that
incarnation's own clock; no other daemon reads its times. A request id is bound
to one ticket by ending in `@` and the serial of the ticket, so that a caller
who asks again under another ticket is recognised by any daemon.
"""

import base64
import binascii
import hashlib
import hmac
import json
import math
import random
from typing import Final

import attrs
import cattrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._clock import Clock
from fennelfork._verdict import Failure, FailureCode, may_have_run, not_run

MAX_REQUEST_ID_CHARS: Final = 160
MAX_TICKET_CHARS: Final = 512
_BINDING_SEPARATOR: Final = '@'
_SERIAL_BITS: Final = 96
_MIN_SECRET_BYTES: Final = 16
_MAC_CHARS: Final = 32
_FIELD_SEPARATOR: Final = '.'
_FIELD_COUNT: Final = 3


@attrs.frozen(kw_only=True)
class TicketTerms:
    """What a ticket says, in the form that is encoded.

    Attributes:
        daemon: name of the daemon that issued it.
        incarnation: which run of that daemon.
        issued_ms: reading of the incarnation's clock at issue.
        expires_ms: reading from which on nothing starts under the ticket.
    """

    daemon: str
    incarnation: int
    issued_ms: int
    expires_ms: int


@attrs.frozen(kw_only=True)
class Ticket:
    """A parsed ticket; only `check_ticket` tells whether it is genuine."""

    serial: str
    terms: TicketTerms
    signed: str
    mac: str

    @property
    def text(self) -> str:
        """The ticket as callers hold it."""
        return _FIELD_SEPARATOR.join((self.signed, self.mac))

    def has_expired(self, now_ms: float) -> bool:
        """Tell whether nothing may start any more under the ticket."""
        return now_ms >= self.terms.expires_ms


@attrs.frozen(kw_only=True)
class TicketKey:
    """The secret of one incarnation, never stored and never sent."""

    daemon: str
    incarnation: int
    _secret: bytes = attrs.field(repr=False)

    def mac(self, signed: str) -> str:
        """Give the message authentication code of `signed`."""
        code = hmac.new(self._secret, signed.encode(), hashlib.sha256)
        return code.hexdigest()[:_MAC_CHARS]


def ticket_key(daemon: str, incarnation: int, secret: bytes) -> TicketKey:
    """Build the key of an incarnation.

    Args:
        daemon: name of the daemon.
        incarnation: which run of the daemon.
        secret: random bytes drawn anew by each incarnation.

    Raises:
        ValueError: if the secret is shorter than 16 bytes.
    """
    if len(secret) < _MIN_SECRET_BYTES:
        raise ValueError('the secret of a ticket key is too short')
    return TicketKey(daemon=daemon, incarnation=incarnation, secret=secret)


def issue_ticket(
    key: TicketKey,
    clock: Clock,
    rng: random.Random,
    lifetime_ms: int,
) -> Ticket:
    """Issue a ticket that ends `lifetime_ms` from now.

    Args:
        key: key of the incarnation that issues.
        clock: monotonic clock of the incarnation.
        rng: source of the serial.
        lifetime_ms: how long requests may start under the ticket.
    """
    issued_ms = math.floor(clock.now_ms())
    terms = TicketTerms(
        daemon=key.daemon,
        incarnation=key.incarnation,
        issued_ms=issued_ms,
        expires_ms=issued_ms + lifetime_ms,
    )
    serial = f'{rng.getrandbits(_SERIAL_BITS):024x}'
    signed = _FIELD_SEPARATOR.join((serial, _encode(terms)))
    return Ticket(
        serial=serial,
        terms=terms,
        signed=signed,
        mac=key.mac(signed),
    )


def parse_ticket(text: str) -> Result[Ticket, Failure]:
    """Read a ticket without deciding whether it is genuine.

    Returns:
        The ticket, or a failure that says `MAY_HAVE_RUN`: a request whose
        ticket was damaged may have run under the genuine one.
    """
    parts = text.split(_FIELD_SEPARATOR)
    is_malformed = not text.isascii() or len(parts) != _FIELD_COUNT
    if is_malformed or len(text) > MAX_TICKET_CHARS:
        return Failed(unknown_outcome('the ticket cannot be read'))
    serial, payload, mac = parts
    try:
        terms = _decode(payload)
    except (ValueError, binascii.Error, cattrs.BaseValidationError):
        return Failed(unknown_outcome('the ticket cannot be read'))
    signed = _FIELD_SEPARATOR.join((serial, payload))
    return Success(Ticket(serial=serial, terms=terms, signed=signed, mac=mac))


def check_ticket(key: TicketKey, ticket: Ticket) -> Result[Ticket, Failure]:
    """Tell whether the incarnation that holds `key` issued `ticket`.

    Expiry is not weighed here: a request that ran before the expiry is still
    answered from memory after it.

    Returns:
        The ticket, or a failure that says `MAY_HAVE_RUN`: the request may have
        run under the genuine ticket or in an earlier incarnation.
    """
    if ticket.terms.daemon != key.daemon:
        return Failed(unknown_outcome('the ticket names another daemon'))
    if ticket.terms.incarnation != key.incarnation:
        return Failed(unknown_outcome('the daemon of the ticket has restarted'))
    is_genuine = hmac.compare_digest(
        key.mac(ticket.signed).encode(),
        ticket.mac.encode(),
    )
    if not is_genuine:
        return Failed(unknown_outcome('the ticket is forged or altered'))
    return Success(ticket)


def bind_request_id(name: str, ticket_text: str) -> str:
    """Bind a caller's name of a request to the ticket it is sent under.

    Args:
        name: the caller's own name; unique among its requests of the ticket.
        ticket_text: the ticket as the entries answer gave it.
    """
    serial, _, _ = ticket_text.partition(_FIELD_SEPARATOR)
    return f'{name}{_BINDING_SEPARATOR}{serial}'


def check_binding(
    request_id: str,
    ticket_text: str,
) -> Result[Ticket, Failure]:
    """Tell whether a request id belongs to the ticket it came with.

    Returns:
        The parsed ticket. An id bound to no ticket fails as `NOT_RUN`, since
        no daemon ever runs one; an id bound to another ticket fails as
        `MAY_HAVE_RUN`, since it may have run under that one.
    """
    name, separator, serial = request_id.rpartition(_BINDING_SEPARATOR)
    is_unbound = not (name and separator and serial)
    if is_unbound or len(request_id) > MAX_REQUEST_ID_CHARS:
        return Failed(
            not_run(
                FailureCode.BAD_REQUEST,
                'request_id must be NAME@SERIAL, with the serial of the '
                f'ticket, and at most {MAX_REQUEST_ID_CHARS} characters',
            ),
        )
    if bind_request_id(name, ticket_text) != request_id:
        return Failed(unknown_outcome('request_id is bound to another ticket'))
    return parse_ticket(ticket_text)


def unknown_outcome(detail: str) -> Failure:
    """Build the failure of a request whose own incarnation cannot be asked."""
    return may_have_run(FailureCode.TICKET, detail)


def _encode(terms: TicketTerms) -> str:
    text = json.dumps(cattrs.unstructure(terms), separators=(',', ':'))
    return base64.urlsafe_b64encode(text.encode()).decode().rstrip('=')


def _decode(payload: str) -> TicketTerms:
    padding = '=' * (-len(payload) % 4)
    raw = base64.urlsafe_b64decode(payload + padding)
    return cattrs.structure(json.loads(raw), TicketTerms)
