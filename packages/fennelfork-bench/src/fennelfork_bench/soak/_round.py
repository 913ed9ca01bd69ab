"""One round of the soak: a fresh fleet, its load, and two faults at once."""

import functools
import time
from typing import Final

import attrs

from fennelfork_bench.checks._base import Violation
from fennelfork_bench.history._history import History
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._process import Rig, rig
from fennelfork_bench.soak._caller import Habits
from fennelfork_bench.soak._workers import Crew
from fennelfork_bench.soak._entry import await_entries
from fennelfork_bench.soak._fault import Fault, strike
from fennelfork_bench.soak._menu import small_fleet
from fennelfork_bench.soak._trial import Trial, trial

_PATCH_PAUSE_S: Final = 0.5
_SETTLE_S: Final = 1.0


@attrs.frozen(kw_only=True)
class Load:
    """How much is asked of a small fleet.

    Attributes:
        callers: how many callers ask at the same time.
        execute_share: share of requests that are not idempotent.
        operators: how many operators race with patches.
    """

    callers: int = 4
    execute_share: float = 0.25
    operators: int = 2


_FULL_LOAD: Final = Load()


@attrs.frozen(kw_only=True)
class Round:
    """What one run under faults showed."""

    faults: tuple[Fault, ...]
    history: History
    violations: tuple[Violation, ...]


def small_trial(start_rig: Rig, seed: int, load: Load) -> Trial:
    """Start a small fleet under load of callers and racing operators.

    Args:
        start_rig: takes the processes.
        seed: of every random choice.
        load: how much is asked of it.
    """
    fleet = start_fleet(start_rig, small_fleet(seed))
    await_entries(fleet)
    running = trial(fleet, seed)
    habits = Habits(
        front=running.front.name,
        keys=running.front.keys,
        execute_share=load.execute_share,
    )
    running.start_load(load.callers, habits)
    running.start_operators(load.operators, _PATCH_PAUSE_S)
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


def run_round(
    seed: int,
    faults: tuple[Fault, ...],
    load: Load = _FULL_LOAD,
) -> Round:
    """Run one round on a fleet of its own.

    Args:
        seed: of every random choice.
        faults: all strike in the same second.
        load: how much is asked of the fleet.
    """
    with rig() as started:
        return strike_together(small_trial(started, seed, load), faults)


def _strike_soon(fault: Fault, running: Trial) -> None:
    time.sleep(running.randomness.random())
    strike(fault, running)
