"""Client of a root daemon for the home daemons of shards."""

from typing import Protocol

import attrs
from returns.pipeline import is_successful
from returns.result import Result, Success

from fennelfork import Failure, system_clock
from fennelfork.gather import (
    QueryRequest,
    ScatterOutcome,
    ScatterRequest,
    ShardView,
)
from fennelfork.home import AdmissionLevel, EntryGate, entry_gate
from fennelfork.membership import Member
from fennelfork.placement import PeerHealth
from fennelfork.shares import Flow
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.peer._codec import (
    outcome_from_peer,
    scatter_request_to_peer,
)
from fennelfork_daemon.peer._codec_view import views_from_peer
from fennelfork_daemon.peer._idl import peer


class Home(Protocol):
    """Interface of a home daemon for root daemons."""

    def scatter(self, request: ScatterRequest) -> ScatterOutcome:
        """Run the sub-queries of `request` within its deadline."""

    def describe(
        self,
        front: str,
        shards: tuple[str, ...],
    ) -> tuple[ShardView, ...]:
        """Return the snapshots and ranges that the shards hold."""


def _new_gate() -> EntryGate:
    return entry_gate(system_clock())


@attrs.define(kw_only=True)
class HomeClient:
    """Client for home daemons: local calls in this process, else thrift."""

    _local_name: str
    _local: Home
    _peers: PeerClient
    _health: PeerHealth
    _unreachable: set[str]
    _gate: EntryGate = attrs.field(factory=_new_gate)

    def admit(self, request: QueryRequest) -> Result[float, Failure]:
        """Apply the admission levels of the home daemons to a query.

        Returns:
            The fraction of such queries that is admitted, or a refusal.
        """
        flow = Flow(tenant=request.tenant, traffic_class=request.traffic_class)
        return self._gate.admit(request.front, flow, request.request_id)

    def scatter(
        self,
        home: Member,
        request: ScatterRequest,
        timeout_ms: float,
    ) -> Result[ScatterOutcome, Failure]:
        """Run sub-queries on a home daemon."""
        if home.name == self._local_name:
            outcome = self._local.scatter(request)
            self._record_level(home, request, outcome)
            return Success(outcome)
        reply = self._peers.call(
            home.peer,
            'scatter',
            scatter_request_to_peer(request),
            timeout_ms,
        )
        self._record_health(home, reply)
        return reply.map(
            lambda message: outcome_from_peer(message, request),
        ).map(
            lambda outcome: self._record_level(home, request, outcome),
        )

    def describe(
        self,
        home: Member,
        front: str,
        shards: frozenset[str],
        timeout_ms: float,
    ) -> Result[tuple[ShardView, ...], Failure]:
        """Request the views of shards from a home daemon."""
        shard_names = tuple(sorted(shards))
        if home.name == self._local_name:
            return Success(self._local.describe(front, shard_names))
        request = peer.DescribeRequest(front=front, shards=list(shard_names))
        reply = self._peers.call(home.peer, 'describe', request, timeout_ms)
        self._record_health(home, reply)
        return reply.map(lambda message: views_from_peer(message.shards))

    def is_responsive(
        self, home: Member, front: str, timeout_ms: float
    ) -> bool:
        """Whether a home daemon replies to a probe, even under load.

        The probe describes no shards, so the home daemon has no work to do.
        """
        described = self.describe(home, front, frozenset(), timeout_ms)
        return is_successful(described)

    def _record_level(
        self,
        home: Member,
        request: ScatterRequest,
        outcome: ScatterOutcome,
    ) -> ScatterOutcome:
        admission_level = AdmissionLevel(
            front=request.front,
            flow=Flow(
                tenant=request.tenant, traffic_class=request.traffic_class
            ),
            home=home.name,
            level=outcome.level,
        )
        self._gate.record_level(admission_level)
        return outcome

    def _record_health(
        self, home: Member, reply: Result[object, Failure]
    ) -> None:
        reply.map(lambda _: self._health.record_reply(home.name))
        reply.alt(lambda _: self._record_unreachable(home.name))

    def _record_unreachable(self, name: str) -> None:
        self._health.record_failure(name)
        self._unreachable.add(name)
