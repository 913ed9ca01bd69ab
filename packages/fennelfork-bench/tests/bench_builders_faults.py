"""Builders of fault injection rounds on a small fleet."""

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


def start_trial(rig: Rig, load: Load = _LOAD) -> RoundContext:
    """Start a small fleet under load and wait for latency baselines."""
    running = start_small_round(rig, 1, load)
    time.sleep(_WARM_S)
    return running


def run_with_faults(
    rig: Rig, *faults: Fault, load: Load = _LOAD
) -> RoundResult:
    """Run a small fleet under load with faults and check the history."""
    return run_faults_concurrently(start_trial(rig, load), faults)


def describe_violations(completed: RoundResult) -> list[str]:
    """Describe the violations of a completed round."""
    return [
        f'{violation.guarantee.value}: {violation.detail}'
        for violation in completed.violations
    ]


def count_answers(completed: RoundResult) -> int:
    """Count the answers that callers received."""
    history = completed.history
    executions = history.of_type(ExecuteAnswered)
    return len(history.of_type(QueryAnswered)) + len(executions)


def describe_cut_connections(completed: RoundResult) -> list[str]:
    """Describe how caller connections closed without a response."""
    return [cut.detail for cut in completed.history.of_type(ConnectionCut)]
