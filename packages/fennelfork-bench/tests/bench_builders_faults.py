"""Builders of small fleets, and of runs of them under faults."""

import attrs

from fennelfork_bench._check_base import Violation
from fennelfork_bench._exp_soak_caller import Habits
from fennelfork_bench._exp_soak_fault import Fault, strike
from fennelfork_bench._exp_soak_trial import Trial, trial
from fennelfork_bench._history import History
from fennelfork_bench._history_caller import (
    Asked,
    ConnectionCut,
    ExecuteAnswered,
    QueryAnswered,
)
from fennelfork_bench._rig_config import start_fleet
from fennelfork_bench._rig_process import Rig
from fennelfork_bench._rig_specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    daemon_specs,
    shard_spec,
)

FRONT = 'raft-search'
KEYS = 120
_HALF = KEYS // 2


def small_fleet(**changes: object) -> FleetSpec:
    """Build two shards of two replicas each and three daemons."""
    low = BackendSpec(name='', lo=0, hi=_HALF, keys=KEYS, straggle=0.02)
    high = attrs.evolve(low, lo=_HALF, hi=KEYS, seed=50)
    front = FrontSpec(
        name=FRONT,
        keys=KEYS,
        shards=(shard_spec('low', 2, low), shard_spec('high', 2, high)),
        hedge={'policy': 'quantile', 'delay_ms': 30, 'budget': 0.05},
    )
    spec = FleetSpec(fronts=(front,), daemons=daemon_specs(3), lag_ms=300)
    return attrs.evolve(spec, **changes)


def small_trial(rig: Rig, seed: int = 1) -> Trial:
    """Start a small fleet with four callers and two operators."""
    built = trial(start_fleet(rig, small_fleet()), seed)
    built.start_load(4, Habits(front=FRONT, keys=KEYS))
    built.start_operators(2, pause_s=0.5)
    return built


@attrs.frozen(kw_only=True)
class Outcome:
    """What a run under faults showed."""

    history: History
    violations: tuple[Violation, ...]

    @property
    def asked(self) -> int:
        """How many tries were made."""
        return len(self.history.of(Asked))

    @property
    def answered(self) -> int:
        """How many tries were answered."""
        answers = self.history.of(QueryAnswered)
        return len(answers) + len(self.history.of(ExecuteAnswered))

    @property
    def cuts(self) -> tuple[ConnectionCut, ...]:
        """The tries whose connection ended, or hung, without a reply."""
        return self.history.of(ConnectionCut)


def run_under(running: Trial, *faults: Fault) -> Outcome:
    """Strike with one fault after the other and check the history."""
    for fault in faults:
        strike(fault, running)
    history = running.finish()
    return Outcome(
        history=history,
        violations=running.violations(history),
    )
