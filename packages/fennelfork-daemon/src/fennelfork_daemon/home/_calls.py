"""Calls of a root to the homes, its own process among them."""

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
from fennelfork.home import AdmissionLevel, EntryGate, Flow, entry_gate
from fennelfork.membership import Member
from fennelfork.placement import PeerHealth
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.peer._codec import order_to_peer, outcome_from_peer
from fennelfork_daemon.peer._codec_view import views_from_peer
from fennelfork_daemon.peer._idl import peer


class Home(Protocol):
    """What the home of some shards does for a root."""

    def scatter(self, order: ScatterRequest) -> ScatterOutcome:
        """Run the sub-queries of `order`, within its deadline."""

    def describe(
        self,
        front: str,
        shards: tuple[str, ...],
    ) -> tuple[ShardView, ...]:
        """Tell which snapshots and ranges the shards hold."""


def _gate_of_system() -> EntryGate:
    return entry_gate(system_clock())


@attrs.define(kw_only=True)
class HomeCalls:
    """Reaches a home: in this process by a call, elsewhere by thrift."""

    _local_name: str
    _local: Home
    _peers: PeerClient
    _health: PeerHealth
    _doubted: set[str]
    _gate: EntryGate = attrs.field(factory=_gate_of_system)

    def let_in(self, request: QueryRequest) -> Result[float, Failure]:
        """Refuse a query at once if some home would refuse its part.

        Returns:
            The part of such queries that is let in, or a refusal.
        """
        flow = Flow(tenant=request.tenant, traffic_class=request.traffic_class)
        return self._gate.admit(request.front, flow, request.request_id)

    def scatter(
        self,
        home: Member,
        order: ScatterRequest,
        timeout_ms: float,
    ) -> Result[ScatterOutcome, Failure]:
        """Have a home run sub-queries."""
        if home.name == self._local_name:
            outcome = self._local.scatter(order)
            self._learn_level(home, order, outcome)
            return Success(outcome)
        reply = self._peers.call(
            home.peer,
            'scatter',
            order_to_peer(order),
            timeout_ms,
        )
        self._note(home, reply)
        return reply.map(
            lambda message: outcome_from_peer(message, order),
        ).map(
            lambda outcome: self._learn_level(home, order, outcome),
        )

    def describe(
        self,
        home: Member,
        front: str,
        shards: frozenset[str],
        timeout_ms: float,
    ) -> Result[tuple[ShardView, ...], Failure]:
        """Have a home tell what shards hold."""
        asked = tuple(sorted(shards))
        if home.name == self._local_name:
            return Success(self._local.describe(front, asked))
        request = peer.DescribeRequest(front=front, shards=list(asked))
        reply = self._peers.call(home.peer, 'describe', request, timeout_ms)
        self._note(home, reply)
        return reply.map(lambda message: views_from_peer(message.shards))

    def lives(self, home: Member, front: str, timeout_ms: float) -> bool:
        """Tell whether a home answers at all, however busy it is.

        Asked to describe no shard, it answers at once.
        """
        described = self.describe(home, front, frozenset(), timeout_ms)
        return is_successful(described)

    def _learn_level(
        self,
        home: Member,
        order: ScatterRequest,
        outcome: ScatterOutcome,
    ) -> ScatterOutcome:
        told = AdmissionLevel(
            front=order.front,
            flow=Flow(tenant=order.tenant, traffic_class=order.traffic_class),
            home=home.name,
            level=outcome.level,
        )
        self._gate.record_level(told)
        return outcome

    def _note(self, home: Member, reply: Result[object, Failure]) -> None:
        reply.map(lambda _: self._health.record_reply(home.name))
        reply.alt(lambda _: self._note_silence(home.name))

    def _note_silence(self, name: str) -> None:
        self._health.record_failure(name)
        self._doubted.add(name)
