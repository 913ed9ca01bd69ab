"""Simulated network between membership controllers, in virtual time.

The controllers are those of the product. The network delivers their probes
and drops those on links that a test has cut.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

import attrs
from core_builders_fleet import build_member

from fennelfork.membership import (
    Member,
    MembershipPolicy,
    MemberStatus,
    MemberTable,
    ProbeAck,
    SendProbe,
    membership,
)
from fennelfork.membership import Membership as Controller

_STEP_MS = 100
_LATENCY_MS = 2
_INITIAL_INCARNATION = 1024


@attrs.define(kw_only=True)
class Node:
    """Simulated daemon.

    Attributes:
        name: name of the daemon.
        fleet: membership controller.
        is_up: whether the process runs.
        is_paused: whether the process is suspended.
        is_unresponsive: whether a crashed daemon's address drops connections
            instead of refusing them.
        inbox: events that wait for the end of a pause.
    """

    name: str
    fleet: Controller
    is_up: bool = True
    is_paused: bool = False
    is_unresponsive: bool = False
    inbox: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def me(self) -> Member:
        """The daemon's own record."""
        return self.fleet.view.local

    @property
    def table(self) -> MemberTable:
        """The member table of the daemon."""
        return self.fleet.view.table

    def get_state(self, name: str) -> MemberStatus | None:
        """Return the state of a member in the table of this daemon."""
        member = self.table.get(name)
        return member and member.state


@attrs.define(kw_only=True)
class Network:
    """Daemons by name, cut links and virtual time."""

    now_ms: float = 0
    rng: random.Random
    nodes: dict[str, Node] = attrs.field(factory=dict)
    is_cut: Callable[[str, str], bool] = lambda _from, _to: False
    sent: int = 0
    gossiped: int = 0
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def start(self, me: Member, seeds: list[Member]) -> Node:
        """Start a daemon in place of any daemon with the same name."""
        fleet = membership(
            me,
            MembershipPolicy(),
            random.Random(self.rng.random()),
        )
        fleet.set_seeds(seeds)
        node = Node(name=me.name, fleet=fleet)
        self.nodes[me.name] = node
        self._after(self.rng.uniform(0, _STEP_MS), partial(self._step, node))
        return node

    def run(self, for_ms: float) -> None:
        """Advance the time by `for_ms`."""
        until = self.now_ms + for_ms
        while self._events and self._events[0][0] <= until:
            at_ms, _, action = heapq.heappop(self._events)
            self.now_ms = at_ms
            action()
        self.now_ms = until

    def run_until(self, condition: Callable[[], bool], max_ms: float) -> float:
        """Advance the time until `condition` and return the elapsed time."""
        started_ms = self.now_ms
        while not condition() and self.now_ms < started_ms + max_ms:
            self.run(_STEP_MS)
        assert condition(), f'not within {max_ms} ms'
        return self.now_ms - started_ms

    def resume(self, node: Node) -> None:
        """Resume a paused daemon and handle the events in its inbox."""
        node.is_paused = False
        waiting = list(node.inbox)
        node.inbox.clear()
        for action in waiting:
            action()

    def send(self, node: Node, sends: tuple[SendProbe, ...]) -> None:
        """Send the probes of a daemon's controller."""
        for order in sends:
            self.sent += 1
            self.gossiped += len(order.message.gossip)
            self._call(node, order)

    def _step(self, node: Node) -> None:
        if not node.is_up:
            return
        if not node.is_paused:
            self.send(node, node.fleet.step(self.now_ms))
            node.fleet.view.take_changes()
        self._after(_STEP_MS, partial(self._step, node))

    def _call(self, node: Node, order: SendProbe) -> None:
        target = self.nodes.get(order.target.name)
        self._after(order.timeout_ms, partial(self._lose, node, order))
        if target is None or self.is_cut(node.name, order.target.name):
            return
        if not target.is_up and not target.is_unresponsive:
            refuse = partial(self._fail, node, order, refused=True)
            self._after(_LATENCY_MS, refuse)
        arrive = partial(self._arrive, node, target, order)
        self._after(_LATENCY_MS, partial(self._on, target, arrive))

    def _arrive(self, node: Node, target: Node, order: SendProbe) -> None:
        effects = target.fleet.on_probe(order.message, self.now_ms)
        self.send(target, effects.probes)
        if order.message.relay_to is None:
            self._answer(node, order, effects.ack)
            return
        relayed = target.fleet.relay(order.message.relay_to, self.now_ms)
        unreached = attrs.evolve(effects.ack, reached=False)
        if relayed is None:
            self._answer(node, order, unreached)
        elif self._relay(target, relayed):
            self._answer(node, order, effects.ack)
        else:
            report_unreached = partial(self._answer, node, order, unreached)
            self._after(
                relayed.timeout_ms, partial(self._lose, target, relayed)
            )
            self._after(relayed.timeout_ms, report_unreached)

    def _relay(self, node: Node, order: SendProbe) -> bool:
        relay_target = self.nodes.get(order.target.name)
        if (
            relay_target is None
            or relay_target.is_paused
            or not relay_target.is_up
        ):
            return False
        if self.is_cut(node.name, relay_target.name):
            return False
        effects = relay_target.fleet.on_probe(order.message, self.now_ms)
        self.send(relay_target, effects.probes)
        self._deliver(node, order, effects.ack)
        return True

    def _answer(self, node: Node, order: SendProbe, reply: ProbeAck) -> None:
        deliver = partial(self._deliver, node, order, reply)
        self._after(_LATENCY_MS, partial(self._on, node, deliver))

    def _deliver(self, node: Node, order: SendProbe, reply: ProbeAck) -> None:
        sends = node.fleet.on_ack(order.probe_id, reply, self.now_ms)
        self.send(node, sends)

    def _lose(self, node: Node, order: SendProbe) -> None:
        self._on(node, partial(self._fail, node, order, refused=False))

    def _fail(self, node: Node, order: SendProbe, *, refused: bool) -> None:
        sends = node.fleet.on_failure(
            order.probe_id,
            self.now_ms,
            refused=refused,
        )
        self.send(node, sends)

    def _on(self, node: Node, action: Callable[[], None]) -> None:
        if node.is_paused:
            node.inbox.append(action)
        elif node.is_up:
            action()

    def _after(self, by_ms: float, action: Callable[[], None]) -> None:
        event = (self.now_ms + by_ms, next(self._numbers), action)
        heapq.heappush(self._events, event)


def a_network(size: int, seed: int = 0, data_centres: int = 3) -> Network:
    """Build a network of `size` daemons that know each other."""
    network = Network(rng=random.Random(seed))
    members = [
        build_member(
            f'vm-{number}',
            f'dc-{number % data_centres + 1}',
            region=f'region-{number % data_centres % 2 + 1}',
            incarnation=_INITIAL_INCARNATION,
        )
        for number in range(size)
    ]
    for member in members:
        node = network.start(member, members)
        for other in members:
            node.fleet.view.apply_claims([other], 0)
        node.fleet.schedule.add_new_members()
    return network
