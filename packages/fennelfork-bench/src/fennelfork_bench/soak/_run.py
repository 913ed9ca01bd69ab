"""The soak: faults in pairs, drawn from a printed seed, for some minutes."""

import random
import sys
import time
from pathlib import Path
from typing import Final

from fennelfork_bench.history._caller import Asked
from fennelfork_bench.history._history import write_history
from fennelfork_bench.rig._report import Arm, Report
from fennelfork_bench.soak._counts import Counts, count
from fennelfork_bench.soak._menu import draw_pair
from fennelfork_bench.soak._round import Round, run_round

_S_PER_MINUTE: Final = 60
_SEEDS: Final = 1_000_000
_DIRECTORY: Final = Path('results')


def run(seed: int, minutes: float = 1) -> Report:
    """Run rounds until the time is over; each has a fresh fleet.

    Args:
        seed: of the pairs of faults and of each round.
        minutes: no round begins later than that.
    """
    randomness = random.Random(seed)
    counts = Counts()
    failures: list[str] = []
    end_s = time.monotonic() + minutes * _S_PER_MINUTE
    while time.monotonic() < end_s:
        round_seed = randomness.randrange(_SEEDS)
        done = run_round(round_seed, draw_pair(random.Random(round_seed)))
        counts.update(count(done))
        failures.extend(_failures(round_seed, done))
        sys.stderr.write(f'{_line(round_seed, done)}\n')
    return Report(
        experiment='soak',
        seed=seed,
        arms=(Arm(name='pairs', metrics=dict(counts)),),
        failures=tuple(failures),
    )


def _failures(round_seed: int, done: Round) -> tuple[str, ...]:
    if done.violations:
        _DIRECTORY.mkdir(exist_ok=True)
        path = _DIRECTORY / f'soak-{round_seed}.jsonl'
        write_history(path, done.history)
    return tuple(
        f'round {round_seed}: {broken.promise.value}: {broken.detail}'
        for broken in done.violations
    )


def _line(round_seed: int, done: Round) -> str:
    faults = ' + '.join(map(repr, done.faults))
    tries = len(done.history.of(Asked))
    broken = len(done.violations)
    return f'round {round_seed}: {faults}: {tries} tries, {broken} broken'
