"""Context of a soak round: the fleet, the load and the history."""

import itertools
import random
import time
from typing import Final

import attrs

from fennelfork import wall_clock
from fennelfork_bench.checks._all import check_history
from fennelfork_bench.checks._base import TimeLimits, Violation
from fennelfork_bench.history._daemon import Started
from fennelfork_bench.history._history import (
    EventRecorder,
    History,
    merge_events,
)
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Process
from fennelfork_bench.rig._specs import FrontSpec
from fennelfork_bench.soak._caller import Caller, CallerProfile
from fennelfork_bench.soak._config_versions import (
    record_active_version,
    record_stored_document,
)
from fennelfork_bench.soak._entry import EntryCache
from fennelfork_bench.soak._ground_truth import build_ground_truth
from fennelfork_bench.soak._operator import Operator
from fennelfork_bench.soak._servers import server_events
from fennelfork_bench.soak._workers import Workers

_INITIAL_SNAPSHOT: Final = 1
_POLL_INTERVAL_S: Final = 0.1


@attrs.define(kw_only=True, eq=False)
class RoundContext:
    """Running fleet of a round, its load and its recorded events.

    Attributes:
        fleet: processes of the round.
        recorder: recorder of the events of callers, operators and faults.
        randomness: source of all random choices of the round.
        layout: key range of each server at the newest snapshot, by name.
        lost: names of the servers that were killed or drained.
        snapshots: all snapshot versions that any server has loaded.
    """

    fleet: Fleet
    recorder: EventRecorder
    randomness: random.Random
    layout: dict[str, tuple[int, int]]
    lost: set[str] = attrs.field(factory=set)
    snapshots: set[int] = attrs.field(factory=lambda: {_INITIAL_SNAPSHOT})
    _workers: Workers = attrs.field(factory=Workers)

    @property
    def front(self) -> FrontSpec:
        """Spec of the front that receives the requests."""
        return self.fleet.spec.fronts[0]

    def start_load(self, callers: int, profile: CallerProfile) -> None:
        """Start callers and the polling of the active versions.

        Args:
            callers: number of callers.
            profile: parameters of the requests.
        """
        for index in range(callers):
            self._workers.run_repeatedly(
                self._build_caller(f'desk-{index}', profile).send_one_request
            )
        self._workers.run_repeatedly(self._poll_versions)

    def start_operators(self, count: int, mean_pause_s: float) -> None:
        """Start operators that propose conflicting patches."""
        for index in range(count):
            operator = Operator(
                name=f'op-{index}',
                recorder=self.recorder,
                known_addresses=self._operator_addresses,
                mean_pause_s=mean_pause_s,
                randomness=self._fork_randomness(),
            )
            self._workers.run_repeatedly(operator.propose_one_patch)

    def finish(self) -> History:
        """Stop the load, and merge the events of all processes.

        Raises:
            ExceptionGroup: if a caller, an operator or the polling failed.
        """
        self._workers.stop()
        record_stored_document(self.recorder, self.fleet.platform)
        logs = (
            server_events(server)
            for server in self.fleet.backends.values()
            if server.alive
        )
        return merge_events(self.recorder.events, itertools.chain(*logs))

    def find_violations(self, history: History) -> tuple[Violation, ...]:
        """Return the violations of all guarantees in the history."""
        truth = build_ground_truth(self.front.keys, self.snapshots)
        return check_history(history, truth, TimeLimits())

    def record_start(self, process: Process) -> None:
        """Record that a daemon has started."""
        address = process.ready['caller']
        now_ms = self.recorder.now_ms()
        self.recorder.record_event(Started(at_ms=now_ms, daemon=address))

    def _build_caller(self, name: str, profile: CallerProfile) -> Caller:
        entries = EntryCache(
            known_addresses=self._caller_addresses,
            clock=self.recorder.clock,
            randomness=self._fork_randomness(),
        )
        return Caller(
            name=name,
            profile=profile,
            recorder=self.recorder,
            entries=entries,
            randomness=self._fork_randomness(),
        )

    def _caller_addresses(self) -> list[str]:
        return self.fleet.callers

    def _operator_addresses(self) -> list[str]:
        return self.fleet.operators

    def _poll_versions(self) -> None:
        for daemon in self.fleet.running_daemons:
            record_active_version(self.recorder, daemon)
        time.sleep(_POLL_INTERVAL_S)

    def _fork_randomness(self) -> random.Random:
        return random.Random(self.randomness.random())


def build_round_context(fleet: Fleet, seed: int) -> RoundContext:
    """Build the context of a round on a running fleet.

    Args:
        fleet: fleet whose fronts are active.
        seed: seed of all random choices of load and faults.
    """
    shards = fleet.spec.fronts[0].shards
    servers = [each for shard in shards for each in shard.servers]
    context = RoundContext(
        fleet=fleet,
        layout={each.name: (each.lo, each.hi) for each in servers},
        recorder=EventRecorder(clock=wall_clock()),
        randomness=random.Random(seed),
    )
    for daemon in fleet.daemons.values():
        context.record_start(daemon)
    return context
