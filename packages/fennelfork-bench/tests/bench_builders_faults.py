"""Builders of runs of a small fleet under faults."""

import time

from fennelfork_bench._exp_soak_caller import Habits
from fennelfork_bench._exp_soak_entry import await_entries
from fennelfork_bench._exp_soak_fault import Fault
from fennelfork_bench._exp_soak_menu import small_fleet
from fennelfork_bench._exp_soak_round import Round, strike_together
from fennelfork_bench._exp_soak_trial import Trial, trial
from fennelfork_bench._history_caller import (
    ConnectionCut,
    ExecuteAnswered,
    QueryAnswered,
)
from fennelfork_bench._rig_config import await_version, first_patch
from fennelfork_bench._rig_fleet import empty_fleet
from fennelfork_bench._rig_process import Rig

_CALLERS = 4
_EXECUTE_SHARE = 0.4
_WARM_S = 0.5


def running_trial(rig: Rig, execute_share: float = _EXECUTE_SHARE) -> Trial:
    """Start a small fleet under load and let its latencies be learned.

    Args:
        rig: takes the processes.
        execute_share: share of requests that are not idempotent.
    """
    fleet = empty_fleet(rig, small_fleet(1))
    fleet.start_backends().start_daemons()
    document = {'version': 1, 'patches': [], **first_patch(fleet)}
    fleet.platform.write_document(document)
    await_version(fleet, 1)
    await_entries(fleet)
    running = trial(fleet, 1)
    front = running.front
    habits = Habits(
        front=front.name,
        keys=front.keys,
        execute_share=execute_share,
    )
    running.start_load(_CALLERS, habits)
    time.sleep(_WARM_S)
    return running


def run_under(
    rig: Rig,
    fault: Fault,
    execute_share: float = _EXECUTE_SHARE,
) -> Round:
    """Run a small fleet under load and a fault and check the history."""
    return strike_together(running_trial(rig, execute_share), (fault,))


def broken(done: Round) -> list[str]:
    """Say which promises a run broke, in a few words each."""
    return [
        f'{violation.promise.value}: {violation.detail}'
        for violation in done.violations
    ]


def answers(done: Round) -> int:
    """Count the answers that callers got."""
    history = done.history
    executions = history.of(ExecuteAnswered)
    return len(history.of(QueryAnswered)) + len(executions)


def cuts(done: Round) -> list[str]:
    """Say how connections of callers ended without a reply."""
    return [cut.detail for cut in done.history.of(ConnectionCut)]
