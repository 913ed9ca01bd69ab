"""The way of a non-idempotent request into the incarnation that may run it."""

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
    """A non-idempotent request as a caller sends it.

    Attributes:
        request_id: the caller's name of it, bound to the ticket.
        ticket: text of the ticket it is sent under.
        front: the search front that holds the record.
        key: the record that it acts on.
        action: what to do, as the backend server understands it.
        tenant: on whose behalf.
    """

    request_id: str
    ticket: str
    front: str
    key: int
    action: str
    tenant: str


@attrs.frozen(kw_only=True)
class ExecuteLocally:
    """This incarnation issued the ticket."""


@attrs.frozen(kw_only=True)
class ForwardToPeer:
    """Another live incarnation issued the ticket; only it may decide."""

    daemon: str
    incarnation: int


@attrs.define(kw_only=True)
class OnceGate:
    """Tickets and memory of one incarnation, which begin and end together."""

    _key: TicketKey
    _clock: Clock
    _rng: random.Random
    _table: OnceTable
    _is_closed: bool = False

    @property
    def table(self) -> OnceTable:
        """The request ids taken by this incarnation."""
        return self._table

    def issue(self, lifetime_ms: int) -> Ticket | None:
        """Issue a ticket, or none once the incarnation is leaving."""
        if self._is_closed:
            return None
        return issue_ticket(self._key, self._clock, self._rng, lifetime_ms)

    def stop_issuing(self) -> None:
        """Issue no more tickets; requests under issued ones are still taken.

        A leaving daemon serves until what it gave out has expired.
        """
        self._is_closed = True

    def refuse_new_requests(self) -> None:
        """Refuse every request not yet known, for good, before exiting."""
        self._is_closed = True
        self._table.close_issued_tickets()

    def route(
        self, request: ExecuteRequest
    ) -> Result[ExecuteLocally | ForwardToPeer, Failure]:
        """Decide which incarnation answers a request that came in here.

        Returns:
            Where to decide it; or a failure, if its id is not bound to its
            ticket, or the ticket is of a former run of this daemon.
        """
        return check_binding(request.request_id, request.ticket).bind(
            self._route
        )

    def admit(self, request: ExecuteRequest) -> Result[OnceAdmission, Failure]:
        """Decide on a request that came here, directly or passed on.

        Returns:
            What to do with it, or the failure to answer.
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
        terms = ticket.terms
        if terms.daemon != self._key.daemon:
            return Success(
                ForwardToPeer(
                    daemon=terms.daemon, incarnation=terms.incarnation
                ),
            )
        if terms.incarnation != self._key.incarnation:
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
    """Build the gate of a new incarnation.

    Args:
        key: a key drawn for this incarnation.
        clock: monotonic clock of the incarnation.
        rng: source of the serials of tickets.
        limits: bounds of what is remembered.
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
