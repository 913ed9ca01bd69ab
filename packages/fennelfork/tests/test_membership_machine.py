"""Membership under any sequence of faults, then left in peace."""

import attrs
from core_builders_network import Network, Node, a_network
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fennelfork.membership import MemberStatus, MemberTable, announce_leave

_NAMES = [f'vm-{number}' for number in range(6)]
_NAME = st.sampled_from(_NAMES)
_RUN_STEP = 1024
_PEACE_MS = 180_000


def _rebuilt(table: MemberTable) -> MemberTable:
    fresh = MemberTable()
    for member in table:
        fresh.put(member)
    return fresh


def _sees(node: Node, other: Node) -> bool:
    believed = node.get_state(other.name)
    if other.is_up:
        return believed is other.me.state
    return believed in {MemberStatus.DEAD, None}


class FleetFaults(RuleBasedStateMachine):
    """Kills, restarts, pauses, cuts and leaves, in any order."""

    network: Network

    @initialize(seed=st.integers(0, 999))
    def begin(self, seed: int) -> None:
        """Start six daemons in two regions."""
        self.network = a_network(len(_NAMES), seed)
        self.cut: set[tuple[str, str]] = set()
        self.network.is_cut = self._is_cut
        self.highest: dict[tuple[str, str], int] = {}
        self.incarnations = 1

    @rule(seconds=st.integers(1, 15))
    def time_passes(self, seconds: int) -> None:
        """Let some seconds pass."""
        self.network.run(seconds * 1000)

    @rule(name=_NAME, unresponsive=st.booleans())
    def kill(self, name: str, *, unresponsive: bool) -> None:
        """End a daemon without a word; its VM refuses or is silent too."""
        node = self.network.nodes[name]
        node.is_up = False
        node.is_unresponsive = unresponsive

    @rule(name=_NAME)
    def restart(self, name: str) -> None:
        """Start a killed daemon again under a later incarnation."""
        node = self.network.nodes[name]
        if node.is_up:
            return
        self.incarnations += 1
        again = attrs.evolve(
            node.me,
            incarnation=(self.incarnations * 64) * _RUN_STEP,
            state=MemberStatus.ALIVE,
        )
        seeds = [other.me for other in self.network.nodes.values()]
        self.network.start(again, seeds)
        self.highest = {
            key: known for key, known in self.highest.items() if key[0] != name
        }

    @rule(name=_NAME)
    def pause(self, name: str) -> None:
        """Stop a daemon from running."""
        self.network.nodes[name].is_paused = True

    @rule(name=_NAME)
    def wake(self, name: str) -> None:
        """Let it run on."""
        self.network.wake(self.network.nodes[name])

    @rule(start=_NAME, end=_NAME)
    def cut_one_way(self, start: str, end: str) -> None:
        """Let calls from one daemon to another vanish."""
        self.cut.add((start, end))

    @rule()
    def cut_regions(self) -> None:
        """Let all calls between the regions vanish."""
        nodes = self.network.nodes.values()
        self.cut |= {
            (start.name, end.name)
            for start in nodes
            for end in nodes
            if start.me.region != end.me.region
        }

    @rule()
    def heal(self) -> None:
        """Let all calls through again."""
        self.cut.clear()

    @rule(name=_NAME)
    def leave(self, name: str) -> None:
        """Have a daemon announce its stop."""
        node = self.network.nodes[name]
        if node.is_up:
            announce_leave(node.fleet)

    @invariant()
    def only_a_member_raises_its_incarnation(self) -> None:
        """Nobody believes more of a member than it ever said itself."""
        for node in self.network.nodes.values():
            for member in node.table:
                named = self.network.nodes[member.name]
                assert member.incarnation <= named.me.incarnation

    @invariant()
    def incarnations_never_fall(self) -> None:
        """What a daemon knows of a member is never replaced by older."""
        for node in self.network.nodes.values():
            for member in node.table:
                key = (node.name, member.name)
                assert member.incarnation >= self.highest.get(key, 0)
                self.highest[key] = member.incarnation

    @invariant()
    def tables_add_up(self) -> None:
        """Digests and counts kept along the way are the true ones."""
        for node in self.network.nodes.values():
            table = node.table
            fresh = _rebuilt(table)
            assert table.digests == fresh.digests
            assert table.live_count == fresh.live_count
            assert table.get(node.name) == node.me

    def teardown(self) -> None:
        """Left in peace, all agree on who is there and who is not."""
        if not hasattr(self, 'network'):
            return
        self.cut.clear()
        for node in self.network.nodes.values():
            self.network.wake(node)
        self.network.run(_PEACE_MS)
        nodes = list(self.network.nodes.values())
        wrong = [
            (node.name, other.name, node.get_state(other.name))
            for node in nodes
            for other in nodes
            if node.is_up and not _sees(node, other)
        ]
        assert not wrong

    def _is_cut(self, start: str, end: str) -> bool:
        return (start, end) in self.cut


TestFleetFaults = FleetFaults.TestCase
TestFleetFaults.settings = settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
)
