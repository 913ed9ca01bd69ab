"""Versions of at most once with one fault each, which tests must find."""

import math

import attrs
from core_builders_once import Fleet
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run
from fennelfork.once import (
    Done,
    ExecuteRequest,
    OnceAdmission,
    OnceRequest,
    OnceTable,
    Sent,
    Ticket,
)


@attrs.define(kw_only=True)
class ForgetsDone(OnceTable):
    """Forgets a request as soon as it is done."""

    def admit(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        """Decide without the memory of what is done."""
        if isinstance(self.state(request.request_id), Done):
            _drop(self, request.request_id)
        return OnceTable.admit(self, ticket, request)


@attrs.define(kw_only=True)
class EvictsOldest(OnceTable):
    """Makes room by forgetting, before the ticket has ended."""

    def admit(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        """Decide after making room."""
        known = self.state(request.request_id) is not None
        if not known and self.size >= self._limits.max_entries:
            _drop_oldest_done(self)
        return OnceTable.admit(self, ticket, request)


@attrs.define(kw_only=True)
class StaysOpen(OnceTable):
    """Refuses for want of room what it takes when it comes again."""

    def close_issued_tickets(self) -> None:
        """Leave the tickets of up to now open."""


@attrs.define(kw_only=True)
class SendsLate(OnceTable):
    """Weighs the expiry when a request comes in, and not at the send."""

    def begin_send(self, request_id: str) -> Result[float, Failure]:
        """Send whatever the time is."""
        self._entries[request_id].state = Sent()
        return Success(math.inf)


@attrs.define(kw_only=True)
class UnboundFleet(Fleet):
    """Runs an id under whichever ticket it comes with."""

    def ask(self, name: str, request: ExecuteRequest, cut: bool) -> None:
        """Take the name of the request for its id."""
        bare = request.request_id.partition('@')[0]
        gate = self.gates[name]
        if gate.table.state(bare) is None:
            ticket = gate.issue(1000)
            view = OnceRequest(request_id=bare, content_hash=0)
            gate.table.admit(ticket, view)
            self.jobs.append((gate, bare))


@attrs.define(kw_only=True)
class DeadIsNotRunFleet(Fleet):
    """Says that nothing ran when the right daemon cannot be asked."""

    def unreachable(self) -> Failure:
        """Refuse without proof."""
        return not_run(FailureCode.TICKET, 'the daemon is gone')


def _drop_oldest_done(table: OnceTable) -> None:
    for _, request_id in table._removal_times:
        if isinstance(table.state(request_id), Done):
            _drop(table, request_id)
            return


def _drop(table: OnceTable, request_id: str) -> None:
    position = [known for _, known in table._removal_times].index(request_id)
    table._removal_times.pop(position)
    table._entries.pop(request_id)
