"""A round on fronts: two faults at once, and what the checkers say."""

import random
from pathlib import Path
from typing import Final

from fennelfork_bench.history._caller import Asked
from fennelfork_bench.history._history import write_history
from fennelfork_bench.soak._counts import count
from fennelfork_bench.soak._menu import draw_pair
from fennelfork_bench.soak._round import Round, run_round
from fennelfork_bench.soak._rounds import Outcome

_DIRECTORY: Final = Path('results')


def play_fronts(seed: int) -> Outcome:
    """Play a round; keep its history if a promise was broken.

    Args:
        seed: of the faults, their targets and the load.
    """
    done = run_round(seed, draw_pair(random.Random(seed)))
    if done.violations:
        _DIRECTORY.mkdir(exist_ok=True)
        write_history(_DIRECTORY / f'soak-{seed}.jsonl', done.history)
    return Outcome(
        told=_told(done),
        counts=count(done),
        broken=tuple(
            f'{broken.promise.value}: {broken.detail}'
            for broken in done.violations
        ),
    )


def _told(done: Round) -> str:
    faults = ' + '.join(map(repr, done.faults))
    tries = len(done.history.of(Asked))
    broken = len(done.violations)
    return f'fronts: {faults}: {tries} tries, {broken} broken'
