"""Messages between membership controllers, moved by hand in one thread.

Not a model of a cluster: the controllers are the product's own, and this
module only carries their calls, in virtual time, along links that a test
cuts.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

import attrs
from core_builders_fleet import a_member

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
    """One daemon: its controller and whether it runs."""

    name: str
    fleet: Controller
    is_up: bool = True
    is_paused: bool = False
    is_unresponsive: bool = False
    inbox: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def me(self) -> Member:
        """What the daemon says of itself."""
        return self.fleet.view.local

    @property
    def table(self) -> MemberTable:
        """What the daemon knows."""
        return self.fleet.view.table

    def get_state(self, name: str) -> MemberStatus | None:
        """Give the state in which this daemon condition another."""
        member = self.table.get(name)
        return member and member.state


@attrs.define(kw_only=True)
class Network:
    """Daemons by name, the links cut between them, and virtual time."""

    now_ms: float = 0
    rng: random.Random
    nodes: dict[str, Node] = attrs.field(factory=dict)
    is_cut: Callable[[str, str], bool] = lambda _from, _to: False
    sent: int = 0
    gossiped: int = 0
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def start(self, me: Member, seeds: list[Member]) -> Node:
        """Start a daemon; a second one of a name replaces the first."""
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
        """Let `for_ms` pass."""
        until = self.now_ms + for_ms
        while self._events and self._events[0][0] <= until:
            at_ms, _, action = heapq.heappop(self._events)
            self.now_ms = at_ms
            action()
        self.now_ms = until

    def run_until(self, condition: Callable[[], bool], max_ms: float) -> float:
        """Let time pass until `condition`, and give how long it took."""
        started_ms = self.now_ms
        while not condition() and self.now_ms < started_ms + max_ms:
            self.run(_STEP_MS)
        assert condition(), f'not within {max_ms} ms'
        return self.now_ms - started_ms

    def wake(self, node: Node) -> None:
        """Let a is_paused daemon run on, first of all what waited for it."""
        node.is_paused = False
        waiting = list(node.inbox)
        node.inbox.clear()
        for action in waiting:
            action()

    def send(self, node: Node, sends: tuple[SendProbe, ...]) -> None:
        """Carry out the orders of a daemon's controller."""
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
        a_member(
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
