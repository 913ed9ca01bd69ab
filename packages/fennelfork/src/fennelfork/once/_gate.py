"""Routing and admission of non-idempotent requests in one incarnation."""

import random

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._clock import Clock
from fennelfork._verdict import Failure
from fennelfork.once._admission import OnceAdmission
from fennelfork.once._table import (
    OnceLimits,
    OnceRequest,
    OnceTable,
    once_request,
    once_table,
)
from fennelfork.once._ticket import (
    Ticket,
    TicketKey,
    check_binding,
    check_ticket,
    issue_ticket,
    unknown_outcome,
)


@attrs.frozen(kw_only=True)
class ExecuteRequest:
    """Non-idempotent request of a caller.

    Attributes:
        request_id: id that the caller chose and bound to the ticket.
        ticket: text of the ticket.
        front: search front that contains the record.
        key: key of the record that the request changes.
        action: action in the terms of the backend server.
        tenant: tenant of the caller.
    """

    request_id: str
    ticket: str
    front: str
    key: int
    action: str
    tenant: str


@attrs.frozen(kw_only=True)
class ExecuteLocally:
    """The local incarnation issued the ticket and decides on the request."""


@attrs.frozen(kw_only=True)
class ForwardToPeer:
    """Another incarnation issued the ticket and has to decide on the request.

    Attributes:
        daemon: name of the daemon in the ticket.
        incarnation: incarnation of that daemon in the ticket.
    """

    daemon: str
    incarnation: int


@attrs.define(kw_only=True)
class OnceGate:
    """Ticket issuer and request table of one incarnation."""

    _key: TicketKey
    _clock: Clock
    _rng: random.Random
    _table: OnceTable
    _is_closed: bool = False

    @property
    def table(self) -> OnceTable:
        """The request ids that this incarnation has accepted."""
        return self._table

    def issue(self, lifetime_ms: int) -> Ticket | None:
        """Issue a ticket, or none after `stop_issuing`."""
        if self._is_closed:
            return None
        return issue_ticket(self._key, self._clock, self._rng, lifetime_ms)

    def stop_issuing(self) -> None:
        """Stop issuing tickets and still accept requests under issued ones.

        A draining daemon serves until its tickets have expired.
        """
        self._is_closed = True

    def refuse_new_requests(self) -> None:
        """Refuse unknown request ids permanently, before the process exits."""
        self._is_closed = True
        self._table.close_issued_tickets()

    def route(
        self, request: ExecuteRequest
    ) -> Result[ExecuteLocally | ForwardToPeer, Failure]:
        """Return the incarnation that decides on a request.

        Returns:
            The place of the decision, or a failure: the request id is not
            bound to the ticket, or an earlier incarnation of the local daemon
            issued the ticket.
        """
        return check_binding(request.request_id, request.ticket).bind(
            self._route
        )

    def admit(self, request: ExecuteRequest) -> Result[OnceAdmission, Failure]:
        """Decide on a request that arrived directly or was forwarded.

        Returns:
            The admission decision or the failure to answer.
        """
        ticket = check_binding(request.request_id, request.ticket)
        return ticket.bind(self._check_ticket).bind(
            lambda genuine: self._table.admit(genuine, _once_request(request)),
        )

    def _check_ticket(self, ticket: Ticket) -> Result[Ticket, Failure]:
        return check_ticket(self._key, ticket)

    def _route(
        self, ticket: Ticket
    ) -> Result[ExecuteLocally | ForwardToPeer, Failure]:
        ticket_terms = ticket.terms
        if ticket_terms.daemon != self._key.daemon:
            return Success(
                ForwardToPeer(
                    daemon=ticket_terms.daemon,
                    incarnation=ticket_terms.incarnation,
                ),
            )
        if ticket_terms.incarnation != self._key.incarnation:
            return Failed(
                unknown_outcome('the daemon of the ticket has restarted')
            )
        return Success(ExecuteLocally())


def once_gate(
    key: TicketKey,
    clock: Clock,
    rng: random.Random,
    limits: OnceLimits | None = None,
) -> OnceGate:
    """Build the ticket issuer and request table of a new incarnation.

    Args:
        key: secret key of the incarnation.
        clock: monotonic clock of the incarnation.
        rng: source of ticket serials.
        limits: limits of the request table.
    """
    return OnceGate(
        key=key,
        clock=clock,
        rng=rng,
        table=once_table(clock, limits),
    )


def _once_request(request: ExecuteRequest) -> OnceRequest:
    return once_request(
        request.request_id,
        request.front,
        request.key,
        request.action,
        request.tenant,
    )
