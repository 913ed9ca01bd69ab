"""Soak round: a new fleet under load and concurrent faults."""

import functools
import time
from typing import Final

import attrs

from fennelfork_bench.checks._base import Violation
from fennelfork_bench.history._history import History
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._process import Rig, rig
from fennelfork_bench.soak._caller import CallerProfile
from fennelfork_bench.soak._entry import await_entries
from fennelfork_bench.soak._fault import Fault, run_fault
from fennelfork_bench.soak._fault_catalogue import small_fleet
from fennelfork_bench.soak._round_context import (
    RoundContext,
    build_round_context,
)
from fennelfork_bench.soak._workers import Workers

_PATCH_PAUSE_S: Final = 0.5
_SETTLE_S: Final = 1.0


@attrs.frozen(kw_only=True)
class Load:
    """Load on a small fleet.

    Attributes:
        callers: number of concurrent callers.
        execute_share: share of requests that are not idempotent.
        operators: number of concurrent operators.
    """

    callers: int = 4
    execute_share: float = 0.25
    operators: int = 2


_FULL_LOAD: Final = Load()


@attrs.frozen(kw_only=True)
class RoundResult:
    """Result of a round.

    Attributes:
        faults: faults that were injected.
        history: events of all processes of the round.
        violations: guarantees that the history violates.
    """

    faults: tuple[Fault, ...]
    history: History
    violations: tuple[Violation, ...]


def start_small_round(round_rig: Rig, seed: int, load: Load) -> RoundContext:
    """Start a small fleet, callers and operators.

    Args:
        round_rig: rig that owns the processes.
        seed: seed of all random choices.
        load: load on the fleet.
    """
    fleet = start_fleet(round_rig, small_fleet(seed))
    await_entries(fleet)
    context = build_round_context(fleet, seed)
    profile = CallerProfile(
        front=context.front.name,
        keys=context.front.keys,
        execute_share=load.execute_share,
    )
    context.start_load(load.callers, profile)
    context.start_operators(load.operators, _PATCH_PAUSE_S)
    return context


def run_faults_concurrently(
    context: RoundContext, faults: tuple[Fault, ...]
) -> RoundResult:
    """Run faults concurrently, and check the history.

    Args:
        context: context of a round that is under load.
        faults: faults, each of which starts after a random delay.
    """
    workers = Workers()
    for fault in faults:
        workers.run_once(
            functools.partial(_run_fault_after_delay, fault, context)
        )
    workers.stop()
    time.sleep(_SETTLE_S)
    history = context.finish()
    return RoundResult(
        faults=faults,
        history=history,
        violations=context.find_violations(history),
    )


def run_round(
    seed: int,
    faults: tuple[Fault, ...],
    load: Load = _FULL_LOAD,
) -> RoundResult:
    """Run one round on a new fleet.

    Args:
        seed: seed of all random choices.
        faults: faults, all of which start within a second.
        load: load on the fleet.
    """
    with rig() as round_rig:
        return run_faults_concurrently(
            start_small_round(round_rig, seed, load), faults
        )


def _run_fault_after_delay(fault: Fault, context: RoundContext) -> None:
    time.sleep(context.randomness.random())
    run_fault(fault, context)
