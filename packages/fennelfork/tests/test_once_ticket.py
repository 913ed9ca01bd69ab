"""Tickets of an incarnation."""

import random

import attrs
import pytest
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, ManualTime, Verdict, manual_clock
from fennelfork.once import (
    Ticket,
    TicketKey,
    bind_request_id,
    check_binding,
    check_ticket,
    issue_ticket,
    parse_ticket,
    ticket_key,
)

_KEY = ticket_key('vm-1', 3, b'k' * 32)


def _issue(key: TicketKey = _KEY, seed: int = 1) -> Ticket:
    clock = manual_clock(ManualTime(at_ms=50.7))
    return issue_ticket(key, clock, random.Random(seed), 100)


def _check(ticket: Ticket) -> Result[Ticket, Failure]:
    return check_ticket(_KEY, ticket)


class TestCheckTicket:
    """Which tickets an incarnation takes for its own."""

    def test_takes_its_own(self) -> None:
        """A ticket survives the way to the caller and back."""
        ticket = _issue()
        parsed = parse_ticket(ticket.text)
        assert parsed == Success(ticket)
        assert parsed.bind(_check) == parsed

    @pytest.mark.parametrize(
        'key',
        [
            ticket_key('vm-1', 3, b'x' * 32),
            ticket_key('vm-1', 4, b'k' * 32),
            ticket_key('vm-2', 3, b'k' * 32),
        ],
        ids=['another secret', 'another incarnation', 'another daemon'],
    )
    def test_refuses_others(self, key: TicketKey) -> None:
        """A ticket of any other key is refused, as one that may have run."""
        refused = check_ticket(_KEY, _issue(key))
        assert isinstance(refused, Failed)
        assert refused.failure().code is FailureCode.TICKET
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_refuses_each_change_of_a_character(self) -> None:
        """No single character of a ticket can be changed."""
        text = _issue().text
        for position, old in enumerate(text):
            new = 'B' if old == 'A' else 'A'
            forged = text[:position] + new + text[position + 1 :]
            checked = parse_ticket(forged).bind(_check)
            assert isinstance(checked, Failed), forged

    def test_ends_by_the_clock_that_issued_it(self) -> None:
        """A ticket is over at its expiry, not a millisecond later."""
        ticket = _issue()
        assert ticket.terms.expires_ms == 150
        assert not ticket.has_expired(149.9)
        assert ticket.has_expired(150)

    def test_refuses_a_short_secret(self) -> None:
        """A key that could be guessed is a defect."""
        with pytest.raises(ValueError, match='too short'):
            ticket_key('vm-1', 3, b'short')

    def test_keeps_the_secret_out_of_logs(self) -> None:
        """The text form of a key does not show its secret."""
        assert 'kkk' not in repr(_KEY)


class TestParseTicket:
    """Text that is no ticket."""

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'a.b',
            'a.b.c',
            'a.e30.c',
            'a.W10.c',
            'é.é.é',
            'a.%%%.c',
            'a' * 600,
        ],
    )
    def test_refuses(self, text: str) -> None:
        """Any other text fails as a value, not as an exception."""
        refused = parse_ticket(text)
        assert isinstance(refused, Failed)
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_refuses_what_cannot_be_encoded(self) -> None:
        """A lone surrogate in a ticket fails as a value, too."""
        forged = f'{_issue().text[:-1]}\ud800'
        refused = parse_ticket(forged).bind(_check)
        assert isinstance(refused, Failed)


class TestCheckBinding:
    """Request ids and the ticket they belong to."""

    def test_takes_a_bound_id(self) -> None:
        """An id made for the ticket passes, also with marks in its name."""
        ticket = _issue()
        request_id = bind_request_id('paolo@trinacria/17', ticket.text)
        assert check_binding(request_id, ticket.text) == Success(ticket)

    @pytest.mark.parametrize(
        'request_id', ['', 'cert-1', '@x', 'x@', 'a' * 200]
    )
    def test_an_unbound_id_never_ran(self, request_id: str) -> None:
        """What no daemon would run is refused as not run."""
        refused = check_binding(request_id, _issue().text)
        assert isinstance(refused, Failed)
        assert refused.failure().code is FailureCode.BAD_REQUEST
        assert refused.failure().verdict is Verdict.NOT_RUN

    def test_a_new_ticket_does_not_renew_an_id(self) -> None:
        """An id under another ticket may have run, and runs no more."""
        first = _issue(seed=1)
        second = _issue(seed=2)
        request_id = bind_request_id('cert-1', first.text)
        refused = check_binding(request_id, second.text)
        assert isinstance(refused, Failed)
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_the_serial_alone_is_no_ticket(self) -> None:
        """The right serial before other terms still needs the code."""
        first = _issue(seed=1)
        forged = attrs.evolve(_issue(seed=2), signed=first.signed)
        request_id = bind_request_id('cert-1', first.text)
        checked = check_binding(request_id, forged.text).bind(_check)
        assert isinstance(checked, Failed)
