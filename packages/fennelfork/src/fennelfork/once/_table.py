"""Request ids and states in one incarnation, for at-most-once execution.

A verdict applies to the request id rather than to an attempt. Only the
incarnation in the ticket answers `NOT_RUN`, and then refuses the id
permanently.
"""

import math
from typing import Final

import attrs
import xxhash
from returns.result import Failure as Failed
from returns.result import Result, Success
from sortedcontainers import SortedList

from fennelfork._clock import Clock
from fennelfork._verdict import (
    Failure,
    Verdict,
)
from fennelfork.once._admission import (
    OnceAdmission,
    StartExecution,
    admit_duplicate,
)
from fennelfork.once._state import (
    Accepted,
    Done,
    Ended,
    OnceState,
    Sent,
    build_conflict,
    is_open,
    outcome_too_long,
    ticket_closed,
    ticket_expired,
)
from fennelfork.once._ticket import Ticket, unknown_outcome

_NEVER_MS: Final = -1


@attrs.frozen(kw_only=True)
class OnceLimits:
    """Limits of the request table.

    Attributes:
        max_entries: maximum number of request ids.
        max_outcome_chars: maximum length of an outcome kept for duplicates.
        grace_ms: time for which an id stays after the expiry of its ticket.
    """

    max_entries: int = 4096
    max_outcome_chars: int = 2048
    grace_ms: int = 60_000


@attrs.frozen(kw_only=True)
class OnceRequest:
    """Id and content hash of a request.

    Attributes:
        request_id: id that is bound to a ticket.
        content_hash: hash of the complete content of the request.
    """

    request_id: str
    content_hash: int


@attrs.define(kw_only=True)
class _Entry:
    expires_ms: int
    content_hash: int
    state: OnceState


@attrs.define(kw_only=True)
class OnceTable:
    """Request ids of one incarnation, held in memory only."""

    _clock: Clock
    _limits: OnceLimits
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    # Pairs (time of removal in ms, request id), earliest first.
    _removal_times: SortedList = attrs.field(factory=SortedList)
    # Tickets issued up to this time accept no new request ids.
    _closed_until_ms: int = _NEVER_MS

    @property
    def size(self) -> int:
        """The number of request ids in the table."""
        return len(self._entries)

    def state(self, request_id: str) -> OnceState | None:
        """Return the state of a request id, or none for an unknown id."""
        entry = self._entries.get(request_id)
        return None if entry is None else entry.state

    def admit(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        """Decide on a request whose id is bound to a valid ticket.

        Args:
            ticket: ticket that passed `check_binding` and `check_ticket`.
            request: id and content hash of the request.

        Returns:
            The admission decision or the failure to answer.
        """
        self._remove_expired()
        entry = self._entries.get(request.request_id)
        if entry is None:
            return self._admit_new(ticket, request)
        if entry.content_hash != request.content_hash:
            return Failed(build_conflict(entry.state))
        return Success(admit_duplicate(entry.state))

    def begin_send(self, request_id: str) -> Result[float, Failure]:
        """Decide, immediately before the first byte, whether to send a request.

        Returns:
            The time in milliseconds within which execution must start, or the
            failure that the request ended with.

        Raises:
            ValueError: if the request was already sent.
        """
        entry = self._entries[request_id]
        if isinstance(entry.state, Ended):
            return Failed(entry.state.failure)
        if not isinstance(entry.state, Accepted):
            raise ValueError(f'the request {request_id!r} was sent already')
        remaining_ms = entry.expires_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            entry.state = Ended(failure=ticket_expired())
            return Failed(ticket_expired())
        entry.state = Sent()
        return Success(remaining_ms)

    def revert_send(self, request_id: str) -> None:
        """Record that the backend server reported the request as not run."""
        entry = self._entries[request_id]
        if isinstance(entry.state, Sent):
            entry.state = Accepted()

    def record_outcome(self, request_id: str, outcome: str) -> None:
        """Record the outcome of an execution.

        Raises:
            ValueError: if the request was not sent.
        """
        entry = self._entries[request_id]
        if not isinstance(entry.state, Sent):
            raise ValueError(f'the request {request_id!r} was not sent')
        if len(outcome) > self._limits.max_outcome_chars:
            entry.state = Ended(failure=outcome_too_long())
            return
        entry.state = Done(outcome=outcome)

    def abandon(self, request_id: str, reason: Failure) -> Failure:
        """End a request with a failure.

        Args:
            request_id: id of the request.
            reason: cause of the failure, whose verdict is replaced according to
                the state of the request.

        Returns:
            The failure that the request ended with.
        """
        entry = self._entries[request_id]
        if is_open(entry.state):
            sent = isinstance(entry.state, Sent)
            verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
            entry.state = Ended(failure=reason.with_verdict(verdict))
        if isinstance(entry.state, Ended):
            return entry.state.failure
        return reason.with_verdict(Verdict.RAN)

    def abandon_unsent(self, request_id: str, reason: Failure) -> None:
        """Abandon a request unless a byte of the request was sent."""
        if isinstance(self._entries[request_id].state, Accepted):
            self.abandon(request_id, reason)

    def close_issued_tickets(self) -> None:
        """Refuse unknown request ids under all tickets issued so far."""
        self._closed_until_ms = math.floor(self._clock.now_ms())

    def _admit_new(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        now_ms = self._clock.now_ms()
        if now_ms >= self._removal_ms(ticket):
            return Failed(
                unknown_outcome(
                    'the ticket expired and its request ids were removed'
                )
            )
        if ticket.has_expired(now_ms):
            return Failed(ticket_expired())
        if ticket.terms.issued_ms <= self._closed_until_ms:
            return Failed(ticket_closed())
        if len(self._entries) >= self._limits.max_entries:
            self.close_issued_tickets()
            return Failed(ticket_closed())
        self._entries[request.request_id] = _Entry(
            expires_ms=ticket.terms.expires_ms,
            content_hash=request.content_hash,
            state=Accepted(),
        )
        self._removal_times.add((self._removal_ms(ticket), request.request_id))
        return Success(StartExecution())

    def _removal_ms(self, ticket: Ticket) -> int:
        return ticket.terms.expires_ms + self._limits.grace_ms

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        while self._removal_times and self._removal_times[0][0] <= now_ms:
            _, request_id = self._removal_times.pop(0)
            if is_open(self._entries[request_id].state):
                removal_ms = math.ceil(now_ms) + self._limits.grace_ms
                self._removal_times.add((removal_ms, request_id))
            else:
                self._entries.pop(request_id)


def once_table(clock: Clock, limits: OnceLimits | None = None) -> OnceTable:
    """Build the empty table of a new incarnation.

    Args:
        clock: monotonic clock of the incarnation, which also dates tickets.
        limits: limits of the table.
    """
    return OnceTable(clock=clock, limits=limits or OnceLimits())


def once_request(request_id: str, *content: str | int) -> OnceRequest:
    """Build the id and content hash of a request.

    Args:
        request_id: id that is bound to a ticket.
        content: complete content of the request, in a fixed order.
    """
    digest = xxhash.xxh3_128_intdigest(repr(content).encode())
    return OnceRequest(request_id=request_id, content_hash=digest)
