"""Sequence of soak rounds with seeds that derive from one seed."""

import itertools
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import attrs

from fennelfork_bench.rig._report import Arm, Report

_S_PER_MINUTE: Final = 60
_ROUND_SEED_LIMIT: Final = 1_000_000


@attrs.frozen(kw_only=True)
class RoundSummary:
    """Summary of a round.

    Attributes:
        description: faults and numbers of the round, in one line.
        counts: numbers of events, by name.
        violation_texts: descriptions of the violated guarantees.
    """

    description: str
    counts: Mapping[str, int]
    violation_texts: tuple[str, ...]


# Function that runs a round with a seed on a new fleet.
RunRound = Callable[[int], RoundSummary]


def run_rounds(
    seed: int, minutes: float, round_functions: Sequence[RunRound]
) -> Report:
    """Run rounds of several kinds in rotation until the time is over.

    Args:
        seed: seed from which the seeds of the rounds derive.
        minutes: time after which no further round starts, in minutes.
        round_functions: functions that run a round, one for each kind.

    Returns:
        Report with the counts and the violations of all rounds.
    """
    randomness = random.Random(seed)
    counts: Counter[str] = Counter()
    failures: list[str] = []
    rotation = itertools.cycle(round_functions)
    end_s = time.monotonic() + minutes * _S_PER_MINUTE
    while time.monotonic() < end_s:
        round_seed = randomness.randrange(_ROUND_SEED_LIMIT)
        outcome = next(rotation)(round_seed)
        counts.update(outcome.counts)
        failures.extend(
            f'round {round_seed}: {violation}'
            for violation in outcome.violation_texts
        )
        sys.stderr.write(f'round {round_seed}: {outcome.description}\n')
    metrics = {name: float(counts[name]) for name in sorted(counts)}
    return Report(
        experiment='soak',
        seed=seed,
        arms=(Arm(name='rounds', metrics=metrics),),
        failures=tuple(failures),
    )
