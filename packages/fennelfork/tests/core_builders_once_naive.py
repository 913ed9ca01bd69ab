"""Faulty versions of at-most-once execution that the tests must detect."""

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
class RemovesFinished(OnceTable):
    """Table that removes a request as soon as it has run."""

    def admit(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        """Remove a finished request before the decision."""
        if isinstance(self.state(request.request_id), Done):
            _remove(self, request.request_id)
        return OnceTable.admit(self, ticket, request)


@attrs.define(kw_only=True)
class EvictsBeforeExpiry(OnceTable):
    """Table that evicts ids before the expiry of their ticket."""

    def admit(
        self,
        ticket: Ticket,
        request: OnceRequest,
    ) -> Result[OnceAdmission, Failure]:
        """Evict an id from a full table before the decision."""
        known = self.state(request.request_id) is not None
        if not known and self.size >= self._limits.max_entries:
            _remove_oldest_done(self)
        return OnceTable.admit(self, ticket, request)


@attrs.define(kw_only=True)
class KeepsTicketsOpen(OnceTable):
    """Table that later accepts an id it refused when full."""

    def close_issued_tickets(self) -> None:
        """Keep the issued tickets open."""


@attrs.define(kw_only=True)
class SkipsExpiryAtSend(OnceTable):
    """Table that checks the expiry on arrival but not before the send."""

    def begin_send(self, request_id: str) -> Result[float, Failure]:
        """Permit the send at any time."""
        self._entries[request_id].state = Sent()
        return Success(math.inf)


@attrs.define(kw_only=True)
class IgnoresBindingFleet(Fleet):
    """Fleet that executes an id under any ticket."""

    def submit(
        self, name: str, request: ExecuteRequest, is_partitioned: bool
    ) -> None:
        """Use the name of the request without the ticket serial as its id."""
        bare = request.request_id.partition('@')[0]
        gate = self.gates[name]
        if gate.table.state(bare) is None:
            ticket = gate.issue(1000)
            view = OnceRequest(request_id=bare, content_hash=0)
            gate.table.admit(ticket, view)
            self.jobs.append((gate, bare))


@attrs.define(kw_only=True)
class UnreachableIsNotRunFleet(Fleet):
    """Fleet that answers `NOT_RUN` if the issuing daemon is unreachable."""

    def unreachable(self) -> Failure:
        """Return a `NOT_RUN` failure without proof."""
        return not_run(FailureCode.TICKET, 'the daemon is gone')


def _remove_oldest_done(table: OnceTable) -> None:
    for _, request_id in table._removal_times:
        if isinstance(table.state(request_id), Done):
            _remove(table, request_id)
            return


def _remove(table: OnceTable, request_id: str) -> None:
    position = [known for _, known in table._removal_times].index(request_id)
    table._removal_times.pop(position)
    table._entries.pop(request_id)
