"""Rounds of the soak, one after the other, drawn from a printed seed."""

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
_SEEDS: Final = 1_000_000


@attrs.frozen(kw_only=True)
class Outcome:
    """What one round showed.

    Attributes:
        told: faults and figures, in a line.
        counts: what happened, by name.
        broken: promises that were seen broken, in words.
    """

    told: str
    counts: Mapping[str, int]
    broken: tuple[str, ...]


# Plays a round of a seed on a fleet of its own.
Play = Callable[[int], Outcome]


def run_rounds(seed: int, minutes: float, plays: Sequence[Play]) -> Report:
    """Play rounds of several kinds by turns until the time is over.

    Args:
        seed: of the seed of each round.
        minutes: no round begins later than that.
        plays: the kinds of rounds.
    """
    randomness = random.Random(seed)
    counts: Counter[str] = Counter()
    failures: list[str] = []
    turns = itertools.cycle(plays)
    end_s = time.monotonic() + minutes * _S_PER_MINUTE
    while time.monotonic() < end_s:
        round_seed = randomness.randrange(_SEEDS)
        done = next(turns)(round_seed)
        counts.update(done.counts)
        failures.extend(f'round {round_seed}: {one}' for one in done.broken)
        sys.stderr.write(f'round {round_seed}: {done.told}\n')
    metrics = {name: float(counts[name]) for name in sorted(counts)}
    return Report(
        experiment='soak',
        seed=seed,
        arms=(Arm(name='rounds', metrics=metrics),),
        failures=tuple(failures),
    )
