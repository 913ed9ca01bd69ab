"""What one incarnation remembers of the non-idempotent requests it took.

A verdict speaks of the request id, not of the attempt: `NOT_RUN` is said only
here, by the incarnation that the ticket names, and closes the id for good.
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
    conflict,
    is_open,
    outcome_too_long,
    ticket_closed,
    ticket_expired,
)
from fennelfork.once._ticket import Ticket, unknown_outcome

_NEVER_MS: Final = -1


@attrs.frozen(kw_only=True)
class OnceLimits:
    """Bounds of what is remembered.

    Attributes:
        entries: how many request ids at once.
        outcome_chars: the longest outcome that is kept for a repeat.
        grace_ms: how long after the expiry of its ticket an id is kept.
    """

    max_entries: int = 4096
    max_outcome_chars: int = 2048
    grace_ms: int = 60_000


@attrs.frozen(kw_only=True)
class OnceRequest:
    """A request as the table tells it from others.

    Attributes:
        request_id: the id, bound to a ticket.
        content_hash: hash of all that the request asks for.
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
    """The request ids of one incarnation; lost with it, as its tickets are."""

    _clock: Clock
    _limits: OnceLimits
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    # (reading at which the id may be forgotten, id), the earliest first.
    _removal_times: SortedList = attrs.field(factory=SortedList)
    # Ids unknown to the table are refused under tickets issued up to here.
    _closed_until_ms: int = _NEVER_MS

    @property
    def size(self) -> int:
        """How many ids are remembered."""
        return len(self._entries)

    def state(self, request_id: str) -> OnceState | None:
        """Give the state of an id, or none if it is not remembered."""
        entry = self._entries.get(request_id)
        return None if entry is None else entry.state

    def admit(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        """Decide on a request that came with a genuine ticket of its id.

        Args:
            ticket: passed by `check_binding` and `check_ticket`.
            request: the request.

        Returns:
            What to do with it, or the failure to answer.
        """
        self._remove_expired()
        entry = self._entries.get(request.request_id)
        if entry is None:
            return self._admit_new(ticket, request)
        if entry.content_hash != request.content_hash:
            return Failed(conflict(entry.state))
        return Success(admit_duplicate(entry.state))

    def begin_send(self, request_id: str) -> Result[float, Failure]:
        """Decide, immediately before the first byte, whether to send.

        Returns:
            The milliseconds within which the run must start, or the failure
            that the request has now ended with, or had ended with before.

        Raises:
            ValueError: if the request was sent already.
        """
        entry = self._entries[request_id]
        if isinstance(entry.state, Ended):
            return Failed(entry.state.failure)
        if not isinstance(entry.state, Accepted):
            raise ValueError(f'sent already: {request_id}')
        left_ms = entry.expires_ms - self._clock.now_ms()
        if left_ms <= 0:
            entry.state = Ended(failure=ticket_expired())
            return Failed(ticket_expired())
        entry.state = Sent()
        return Success(left_ms)

    def revert_send(self, request_id: str) -> None:
        """Note a backend server's own word that it did not run the request."""
        entry = self._entries[request_id]
        if isinstance(entry.state, Sent):
            entry.state = Accepted()

    def record_outcome(self, request_id: str, outcome: str) -> None:
        """Note the outcome of the run.

        Raises:
            ValueError: if the request was not sent.
        """
        entry = self._entries[request_id]
        if not isinstance(entry.state, Sent):
            raise ValueError(f'not sent: {request_id}')
        if len(outcome) > self._limits.max_outcome_chars:
            entry.state = Ended(failure=outcome_too_long())
            return
        entry.state = Done(outcome=outcome)

    def abandon(self, request_id: str, reason: Failure) -> Failure:
        """End a request that will not be pursued.

        Args:
            request_id: the request.
            reason: why; its verdict is replaced by what the state proves.

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
        """End a request of which no byte was sent; leave any other alone."""
        if isinstance(self._entries[request_id].state, Accepted):
            self.abandon(request_id, reason)

    def close_issued_tickets(self) -> None:
        """Refuse for good every unknown id under the tickets of up to now."""
        self._closed_until_ms = math.floor(self._clock.now_ms())

    def _admit_new(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        now_ms = self._clock.now_ms()
        if now_ms >= self._removal_ms(ticket):
            return Failed(unknown_outcome('the ticket ended long ago'))
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
        clock: monotonic clock of the incarnation, the one that dates tickets.
        limits: bounds of what is remembered.
    """
    return OnceTable(clock=clock, limits=limits or OnceLimits())


def once_request(request_id: str, *content: str | int) -> OnceRequest:
    """Build the table's view of a request.

    Args:
        request_id: the id, bound to a ticket.
        content: all that the request asks for, in a fixed order.
    """
    digest = xxhash.xxh3_128_intdigest(repr(content).encode())
    return OnceRequest(request_id=request_id, content_hash=digest)
