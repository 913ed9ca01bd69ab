"""Builders of runs of a small fleet under faults."""

import time

from fennelfork_bench.history._caller import (
    ConnectionCut,
    ExecuteAnswered,
    QueryAnswered,
)
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.soak._fault import Fault
from fennelfork_bench.soak._round import (
    Load,
    RoundResult,
    run_faults_concurrently,
    start_small_round,
)
from fennelfork_bench.soak._round_context import RoundContext

_LOAD = Load(execute_share=0.4)
_WARM_S = 0.5


def running_trial(rig: Rig, load: Load = _LOAD) -> RoundContext:
    """Start a small fleet under load and let its latencies be learned."""
    running = start_small_round(rig, 1, load)
    time.sleep(_WARM_S)
    return running


def run_under(rig: Rig, *faults: Fault, load: Load = _LOAD) -> RoundResult:
    """Run a small fleet under load and faults and check the history."""
    return run_faults_concurrently(running_trial(rig, load), faults)


def broken(done: RoundResult) -> list[str]:
    """Say which promises a run broke, in a few words each."""
    return [
        f'{violation.promise.value}: {violation.detail}'
        for violation in done.violations
    ]


def answers(done: RoundResult) -> int:
    """Count the answers that callers got."""
    history = done.history
    executions = history.of(ExecuteAnswered)
    return len(history.of(QueryAnswered)) + len(executions)


def cuts(done: RoundResult) -> list[str]:
    """Say how connections of callers ended without a reply."""
    return [cut.detail for cut in done.history.of(ConnectionCut)]
