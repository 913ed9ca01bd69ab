"""Soak round on fronts with two concurrent faults."""

import random
from pathlib import Path
from typing import Final

from fennelfork_bench.history._caller import Asked
from fennelfork_bench.history._history import write_history
from fennelfork_bench.soak._counts import count_events
from fennelfork_bench.soak._fault_catalogue import draw_fault_pair
from fennelfork_bench.soak._round import RoundResult, run_round
from fennelfork_bench.soak._rounds import RoundSummary

_RESULTS_DIRECTORY: Final = Path('results')


def run_front_round(seed: int) -> RoundSummary:
    """Run a round, and write the history to a file after a violation.

    Args:
        seed: seed of the faults, the targets and the load.
    """
    round_result = run_round(seed, draw_fault_pair(random.Random(seed)))
    if round_result.violations:
        _RESULTS_DIRECTORY.mkdir(exist_ok=True)
        write_history(
            _RESULTS_DIRECTORY / f'soak-{seed}.jsonl', round_result.history
        )
    return RoundSummary(
        description=_describe(round_result),
        counts=count_events(round_result),
        violation_texts=tuple(
            f'{violation.guarantee.value}: {violation.detail}'
            for violation in round_result.violations
        ),
    )


def _describe(round_result: RoundResult) -> str:
    faults = ' + '.join(map(repr, round_result.faults))
    attempts = len(round_result.history.of_type(Asked))
    violation_count = len(round_result.violations)
    return f'fronts: {faults}: {attempts} tries, {violation_count} broken'
