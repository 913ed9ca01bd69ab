"""One round of the soak: a fresh fleet, its load, and two faults at once."""

import functools
import time
from typing import Final

import attrs

from fennelfork_bench._check_base import Violation
from fennelfork_bench._exp_soak_caller import Habits
from fennelfork_bench._exp_soak_crew import Crew
from fennelfork_bench._exp_soak_fault import Fault, strike
from fennelfork_bench._exp_soak_menu import small_fleet
from fennelfork_bench._exp_soak_trial import Trial, trial
from fennelfork_bench._history import History
from fennelfork_bench._rig_config import start_fleet
from fennelfork_bench._rig_process import Rig, rig

_CALLERS: Final = 4
_OPERATORS: Final = 2
_PATCH_PAUSE_S: Final = 0.5
_SETTLE_S: Final = 1.0


@attrs.frozen(kw_only=True)
class Round:
    """What one run under faults showed."""

    faults: tuple[Fault, ...]
    history: History
    violations: tuple[Violation, ...]


def small_trial(start_rig: Rig, seed: int) -> Trial:
    """Start a small fleet under load of callers and racing operators."""
    spec = small_fleet(seed)
    running = trial(start_fleet(start_rig, spec), seed)
    front = running.front
    running.start_load(_CALLERS, Habits(front=front.name, keys=front.keys))
    running.start_operators(_OPERATORS, _PATCH_PAUSE_S)
    return running


def strike_together(running: Trial, faults: tuple[Fault, ...]) -> Round:
    """Strike with faults at once, settle, and check the history.

    Args:
        running: a trial under load.
        faults: each begins a random moment after the others.
    """
    crew = Crew()
    for fault in faults:
        crew.once(functools.partial(_strike_soon, fault, running))
    crew.stop()
    time.sleep(_SETTLE_S)
    history = running.finish()
    return Round(
        faults=faults,
        history=history,
        violations=running.violations(history),
    )


def run_round(seed: int, faults: tuple[Fault, ...]) -> Round:
    """Run one round on a fleet of its own."""
    with rig() as started:
        return strike_together(small_trial(started, seed), faults)


def _strike_soon(fault: Fault, running: Trial) -> None:
    time.sleep(running.randomness.random())
    strike(fault, running)
