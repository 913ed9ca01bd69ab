"""Convergence of membership after any sequence of faults."""

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
_CONVERGENCE_MS = 180_000


def _rebuilt(table: MemberTable) -> MemberTable:
    rebuilt = MemberTable()
    for member in table:
        rebuilt.put(member)
    return rebuilt


def _agrees(node: Node, other: Node) -> bool:
    state = node.get_state(other.name)
    if other.is_up:
        return state is other.me.state
    return state in {MemberStatus.DEAD, None}


class FleetFaults(RuleBasedStateMachine):
    """Crashes, restarts, pauses, partitions and leaves in any order."""

    network: Network

    @initialize(seed=st.integers(0, 999))
    def start_fleet(self, seed: int) -> None:
        """Start six daemons in two regions."""
        self.network = a_network(len(_NAMES), seed)
        self.cut: set[tuple[str, str]] = set()
        self.network.is_cut = self._is_cut
        self.highest: dict[tuple[str, str], int] = {}
        self.incarnations = 1

    @rule(seconds=st.integers(1, 15))
    def time_passes(self, seconds: int) -> None:
        """Advance the time by some seconds."""
        self.network.run(seconds * 1000)

    @rule(name=_NAME, unresponsive=st.booleans())
    def crash(self, name: str, *, unresponsive: bool) -> None:
        """Crash a daemon whose address refuses or drops connections."""
        node = self.network.nodes[name]
        node.is_up = False
        node.is_unresponsive = unresponsive

    @rule(name=_NAME)
    def restart(self, name: str) -> None:
        """Restart a crashed daemon with a later incarnation."""
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
        """Suspend a daemon."""
        self.network.nodes[name].is_paused = True

    @rule(name=_NAME)
    def resume_daemon(self, name: str) -> None:
        """Resume a suspended daemon."""
        self.network.resume(self.network.nodes[name])

    @rule(start=_NAME, end=_NAME)
    def cut_one_way(self, start: str, end: str) -> None:
        """Drop messages from one daemon to another."""
        self.cut.add((start, end))

    @rule()
    def cut_regions(self) -> None:
        """Drop all messages between regions."""
        nodes = self.network.nodes.values()
        self.cut |= {
            (start.name, end.name)
            for start in nodes
            for end in nodes
            if start.me.region != end.me.region
        }

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.cut.clear()

    @rule(name=_NAME)
    def leave(self, name: str) -> None:
        """Announce the leave of a daemon."""
        node = self.network.nodes[name]
        if node.is_up:
            announce_leave(node.fleet)

    @invariant()
    def only_the_member_raises_its_incarnation(self) -> None:
        """No table has a higher incarnation than the member itself."""
        for node in self.network.nodes.values():
            for member in node.table:
                named = self.network.nodes[member.name]
                assert member.incarnation <= named.me.incarnation

    @invariant()
    def incarnations_never_decrease(self) -> None:
        """No daemon replaces a known incarnation by an older one."""
        for node in self.network.nodes.values():
            for member in node.table:
                key = (node.name, member.name)
                assert member.incarnation >= self.highest.get(key, 0)
                self.highest[key] = member.incarnation

    @invariant()
    def digests_match_a_rebuilt_table(self) -> None:
        """Incremental digests and counts equal those of a rebuilt table."""
        for node in self.network.nodes.values():
            table = node.table
            rebuilt = _rebuilt(table)
            assert table.digests == rebuilt.digests
            assert table.live_count == rebuilt.live_count
            assert table.get(node.name) == node.me

    def teardown(self) -> None:
        """All daemons agree on all states after the faults end."""
        if not hasattr(self, 'network'):
            return
        self.cut.clear()
        for node in self.network.nodes.values():
            self.network.resume(node)
        self.network.run(_CONVERGENCE_MS)
        nodes = list(self.network.nodes.values())
        disagreements = [
            (node.name, other.name, node.get_state(other.name))
            for node in nodes
            for other in nodes
            if node.is_up and not _agrees(node, other)
        ]
        assert not disagreements

    def _is_cut(self, start: str, end: str) -> bool:
        return (start, end) in self.cut


TestFleetFaults = FleetFaults.TestCase
TestFleetFaults.settings = settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
)
