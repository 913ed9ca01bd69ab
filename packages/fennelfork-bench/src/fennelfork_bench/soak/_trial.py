"""One run of a fleet under load and faults, and its history."""

import itertools
import random
import time
from typing import Final

import attrs

from fennelfork import wall_clock
from fennelfork_bench.checks._all import check_history
from fennelfork_bench.checks._base import Limits, Violation
from fennelfork_bench.history._daemon import Started
from fennelfork_bench.history._history import History, Recorder, gather
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Process
from fennelfork_bench.rig._specs import FrontSpec
from fennelfork_bench.soak._caller import Caller, Habits
from fennelfork_bench.soak._workers import Crew
from fennelfork_bench.soak._entry import EntryBook
from fennelfork_bench.soak._ground_truth import index_truth
from fennelfork_bench.soak._operator import Operator
from fennelfork_bench.soak._servers import server_events
from fennelfork_bench.soak._config_versions import note_document, note_version

_FIRST_SNAPSHOT: Final = 1
_POLL_S: Final = 0.1


@attrs.define(kw_only=True, eq=False)
class Trial:
    """A running fleet, its load, and all that is noted of it.

    Attributes:
        snapshots: every version that a server was ever told to hold.
        recorder: takes the events of callers, operators and the rig.
        layout: the range of keys of each server at the newest snapshot.
        lost: servers that were killed or drained.
    """

    fleet: Fleet
    recorder: Recorder
    randomness: random.Random
    layout: dict[str, tuple[int, int]]
    lost: set[str] = attrs.field(factory=set)
    snapshots: set[int] = attrs.field(factory=lambda: {_FIRST_SNAPSHOT})
    _crew: Crew = attrs.field(factory=Crew)

    @property
    def front(self) -> FrontSpec:
        """The front under load."""
        return self.fleet.spec.fronts[0]

    def start_load(self, callers: int, habits: Habits) -> None:
        """Start callers and the watch over the versions.

        Args:
            callers: how many.
            habits: how each asks.
        """
        for index in range(callers):
            self._crew.repeat(self._caller(f'desk-{index}', habits).ask_one)
        self._crew.repeat(self._watch_versions)

    def start_operators(self, count: int, pause_s: float) -> None:
        """Start operators that race with patches."""
        for index in range(count):
            operator = Operator(
                name=f'op-{index}',
                recorder=self.recorder,
                known=self._operators,
                pause_s=pause_s,
                randomness=self._fork(),
            )
            self._crew.repeat(operator.patch_one)

    def finish(self) -> History:
        """Stop the load and gather what every process noted.

        Raises:
            ExceptionGroup: if a caller, an operator or the watch broke down.
        """
        self._crew.stop()
        note_document(self.recorder, self.fleet.platform)
        logs = (
            server_events(server)
            for server in self.fleet.backends.values()
            if server.alive
        )
        return gather(self.recorder.events, itertools.chain(*logs))

    def violations(self, history: History) -> tuple[Violation, ...]:
        """Check every promise on the history of this run."""
        truth = index_truth(self.front.keys, self.snapshots)
        return check_history(history, truth, Limits())

    def note_started(self, process: Process) -> None:
        """Note that a daemon serves."""
        address = process.ready['caller']
        now_ms = self.recorder.now_ms()
        self.recorder.note(Started(at_ms=now_ms, daemon=address))

    def _caller(self, name: str, habits: Habits) -> Caller:
        book = EntryBook(
            known=self._callers,
            clock=self.recorder.clock,
            randomness=self._fork(),
        )
        return Caller(
            name=name,
            habits=habits,
            recorder=self.recorder,
            entries=book,
            randomness=self._fork(),
        )

    def _callers(self) -> list[str]:
        return self.fleet.callers

    def _operators(self) -> list[str]:
        return self.fleet.operators

    def _watch_versions(self) -> None:
        for daemon in self.fleet.living:
            note_version(self.recorder, daemon)
        time.sleep(_POLL_S)

    def _fork(self) -> random.Random:
        return random.Random(self.randomness.random())


def trial(fleet: Fleet, seed: int) -> Trial:
    """Build a trial of a fleet that serves.

    Args:
        fleet: with its fronts in force.
        seed: of every random choice of load and faults.
    """
    shards = fleet.spec.fronts[0].shards
    servers = [each for shard in shards for each in shard.servers]
    built = Trial(
        fleet=fleet,
        layout={each.name: (each.lo, each.hi) for each in servers},
        recorder=Recorder(clock=wall_clock()),
        randomness=random.Random(seed),
    )
    for daemon in fleet.daemons.values():
        built.note_started(daemon)
    return built
