"""Daemons of one data centre that pass on updates of the store to each other.

Guards against a daemon that stays behind, or falls back to an older
configuration, while others are lost, cut off, silent or restarted, or the store
is restored from an older copy.
"""

import pytest
from daemon_builders_relays import ModelDaemon, ModelFleet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

# Bound of the settings on the time until a change applies.
_IN_FORCE_MS = 3000.0
# Time after which daemons agree once all faults are over.
_SETTLED_MS = 6000.0
_MAX_SIZE = 12
_INDEXES = st.integers(0, _MAX_SIZE - 1)


class RelayMachine(RuleBasedStateMachine):
    """Faults of daemons and changes of entries, in any order."""

    def __init__(self) -> None:
        """Start without daemons."""
        super().__init__()
        self.fleet = ModelFleet()
        self.versions: dict[int, tuple[float, int]] = {}
        self.written_ms = {1: 0.0}
        self.calm_from_ms: dict[int, float] = {}

    def teardown(self) -> None:
        """End the daemons."""
        self.fleet.stop()

    @initialize(size=st.integers(1, _MAX_SIZE))
    def start(self, size: int) -> None:
        """Start the daemons."""
        self.fleet.start(size)

    @rule()
    def configure(self) -> None:
        """Write a newer version of the configuration."""
        version = max(self.written_ms) + 1
        self.fleet.configure(version)
        self.written_ms[version] = self.fleet.time.at_ms

    @rule(number=st.integers(0, 4))
    def add_server(self, number: int) -> None:
        """Write the entry of a backend server."""
        self.fleet.add_server(f'i-{number}')

    @rule(number=st.integers(0, 4))
    def remove_server(self, number: int) -> None:
        """Remove the entry of a backend server."""
        self.fleet.remove_server(f'i-{number}')

    @rule(index=_INDEXES, is_cut=st.booleans())
    def cut_from_store(self, index: int, is_cut: bool) -> None:
        """Cut a daemon from the store, or end the cut."""
        for daemon in self._daemon(index):
            daemon.is_cut = is_cut
            self.calm_from_ms[index] = self.fleet.time.at_ms

    @rule(index=_INDEXES, is_silent=st.booleans())
    def silence(self, index: int, is_silent: bool) -> None:
        """Start or end that a daemon leaves other daemons unanswered."""
        for daemon in self._daemon(index):
            daemon.is_silent = is_silent

    @rule(index=_INDEXES)
    def restart(self, index: int) -> None:
        """Restart a daemon, which knows nothing then."""
        for daemon in self._daemon(index):
            daemon.restart()
            self.fleet.register(index)
            self.calm_from_ms[index] = self.fleet.time.at_ms

    @rule(index=_INDEXES)
    def expire(self, index: int) -> None:
        """Remove the entry of a daemon that still runs."""
        self.fleet.unregister(index)

    @rule()
    def compact(self) -> None:
        """Discard the history of the store."""
        self.fleet.store.compacted = self.fleet.store.revision

    @rule(lost=st.integers(0, 12))
    def restore(self, lost: int) -> None:
        """Restore the store; the first write after it is a newer version."""
        version = max(self.written_ms) + 1
        self.fleet.restore(lost, version)
        self.written_ms[version] = self.fleet.time.at_ms
        for daemon in self.fleet.daemons:
            self.calm_from_ms[daemon.index] = self.fleet.time.at_ms

    @rule(duration_ms=st.sampled_from([100, 700, 2000, 5000]))
    def advance(self, duration_ms: float) -> None:
        """Let time pass."""
        self.fleet.advance(duration_ms)

    @rule()
    def settle(self) -> None:
        """Without faults, all daemons know the same as the store."""
        for daemon in self.fleet.daemons:
            daemon.is_cut = False
            daemon.is_silent = False
            self.fleet.register(daemon.index)
        self.fleet.advance(_SETTLED_MS)
        servers = {
            name for name in self.fleet.store.entries if name.startswith('i-')
        }
        for daemon in self.fleet.daemons:
            assert daemon.version == max(self.written_ms)
            assert daemon.servers == servers

    @invariant()
    def versions_never_fall(self) -> None:
        """A process never returns to an older version."""
        for daemon in self.fleet.daemons:
            known = (daemon.started_ms, daemon.version)
            before = self.versions.get(daemon.index, known)
            if before[0] == known[0]:
                assert known[1] >= before[1]
            self.versions[daemon.index] = known

    @invariant()
    def changes_apply_in_time(self) -> None:
        """A daemon that reaches the store applies a change within the bound.

        Faults of the daemons from which the daemon reads do not matter.
        """
        now_ms = self.fleet.time.at_ms
        for daemon in self.fleet.daemons:
            calm_ms = now_ms - self.calm_from_ms.get(daemon.index, 0)
            if daemon.is_cut or calm_ms < _IN_FORCE_MS:
                continue
            due = [
                version
                for version, written_ms in self.written_ms.items()
                if now_ms - written_ms >= _IN_FORCE_MS
            ]
            assert daemon.version >= max(due, default=0)

    def _daemon(self, index: int) -> list[ModelDaemon]:
        """Return the daemon with an index, nothing if there is none."""
        return self.fleet.daemons[index : index + 1]


TestRelayMachine = RelayMachine.TestCase
TestRelayMachine.settings = settings(
    deadline=None, stateful_step_count=25, max_examples=60
)


class TestCallsOfTheStore:
    """Calls of the store while entries change."""

    @pytest.mark.parametrize('size', [2, 12, 35])
    def test_calls_do_not_grow(self, size: int) -> None:
        """Only one daemon of a data centre reads the changes."""
        fleet = ModelFleet()
        fleet.start(size)
        fleet.advance(3000)
        before = fleet.store.calls
        for version in range(2, 22):
            fleet.configure(version)
            fleet.advance(500)
        assert fleet.store.calls - before <= 100
        assert {daemon.version for daemon in fleet.daemons} == {21}
        fleet.stop()
