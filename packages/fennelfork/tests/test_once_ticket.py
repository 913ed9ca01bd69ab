"""Issue, parsing and verification of tickets."""

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
    """Verification of the issuing incarnation."""

    def test_accepts_its_own_ticket(self) -> None:
        """A ticket is valid after encoding and parsing."""
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
    def test_refuses_tickets_of_other_keys(self, key: TicketKey) -> None:
        """A ticket of another key is refused with `MAY_HAVE_RUN`."""
        refused = check_ticket(_KEY, _issue(key))
        assert isinstance(refused, Failed)
        assert refused.failure().code is FailureCode.TICKET
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_refuses_each_changed_character(self) -> None:
        """A change of any single character invalidates a ticket."""
        text = _issue().text
        for position, old in enumerate(text):
            new = 'B' if old == 'A' else 'A'
            forged = text[:position] + new + text[position + 1 :]
            checked = parse_ticket(forged).bind(_check)
            assert isinstance(checked, Failed), forged

    def test_expires_by_the_issuing_clock(self) -> None:
        """A ticket expires exactly at its expiry time."""
        ticket = _issue()
        assert ticket.terms.expires_ms == 150
        assert not ticket.has_expired(149.9)
        assert ticket.has_expired(150)

    def test_refuses_a_short_secret(self) -> None:
        """A short secret raises an error."""
        with pytest.raises(ValueError, match='too short'):
            ticket_key('vm-1', 3, b'short')

    def test_repr_hides_the_secret(self) -> None:
        """The representation of a key does not show its secret."""
        assert 'kkk' not in repr(_KEY)


class TestParseTicket:
    """Malformed tickets."""

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
    def test_refuses_malformed_text(self, text: str) -> None:
        """Malformed text fails as a result, not as an exception."""
        refused = parse_ticket(text)
        assert isinstance(refused, Failed)
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_refuses_a_lone_surrogate(self) -> None:
        """A lone surrogate fails as a result, not as an exception."""
        forged = f'{_issue().text[:-1]}\ud800'
        refused = parse_ticket(forged).bind(_check)
        assert isinstance(refused, Failed)


class TestCheckBinding:
    """Binding of request ids to tickets."""

    def test_accepts_a_bound_id(self) -> None:
        """A bound id is accepted, also with separators in its name."""
        ticket = _issue()
        request_id = bind_request_id('paolo@trinacria/17', ticket.text)
        assert check_binding(request_id, ticket.text) == Success(ticket)

    @pytest.mark.parametrize(
        'request_id', ['', 'cert-1', '@x', 'x@', 'a' * 200]
    )
    def test_unbound_id_is_not_run(self, request_id: str) -> None:
        """An id without a binding is refused as not run."""
        refused = check_binding(request_id, _issue().text)
        assert isinstance(refused, Failed)
        assert refused.failure().code is FailureCode.BAD_REQUEST
        assert refused.failure().verdict is Verdict.NOT_RUN

    def test_id_is_refused_under_another_ticket(self) -> None:
        """An id under another ticket is refused, as it may have run."""
        first = _issue(seed=1)
        second = _issue(seed=2)
        request_id = bind_request_id('cert-1', first.text)
        refused = check_binding(request_id, second.text)
        assert isinstance(refused, Failed)
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_serial_alone_is_not_a_ticket(self) -> None:
        """A correct serial with other terms fails the authentication code."""
        first = _issue(seed=1)
        forged = attrs.evolve(_issue(seed=2), signed=first.signed)
        request_id = bind_request_id('cert-1', first.text)
        checked = check_binding(request_id, forged.text).bind(_check)
        assert isinstance(checked, Failed)
