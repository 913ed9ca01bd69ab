"""Short rounds of the platform's soak test, and tests of its checks."""

import random
from collections import Counter
from pathlib import Path

import pytest

from fennelfork_platform_bench.soak._checks import find_duplicate_runs
from fennelfork_platform_bench.soak._fault_catalogue import choose_faults
from fennelfork_platform_bench.soak._fault_tracker import FaultTracker
from fennelfork_platform_bench.soak._round import Size, run_platform_round

_DAEMONS = ('vm-0', 'vm-1', 'vm-2')


@pytest.mark.process
class TestRounds:
    """Seeds of rounds that found a fault."""

    @pytest.mark.parametrize('seed', [10, 26, 28])
    def test_forgotten_watch(self, seed: int) -> None:
        """Daemons detect that the store dropped their watches.

        Guards against daemons that keep an old configuration version.
        """
        assert not run_platform_round(seed, Size()).broken

    def test_answers_after_a_reload(self) -> None:
        """Daemons return complete answers once the history of the store is lost.

        Guards against a daemon that stays incomplete after its faults have ended.
        """
        assert not run_platform_round(481_545, Size()).broken


@pytest.mark.process
class TestPoisonRounds:
    """Rounds with poison requests."""

    def test_round(self) -> None:
        """Few attempts reach servers, and answers are complete afterwards."""
        assert not run_platform_round(4, Size(), with_poison=True).broken


class TestChooseFaults:
    """Random choice of the faults of a round."""

    def test_same_seed(self) -> None:
        """Equal seeds give equal faults, and different seeds others."""
        chosen = [
            choose_faults(random.Random(seed), _DAEMONS) for seed in (7, 7, 8)
        ]
        assert chosen[0] == chosen[1]
        assert chosen[1] != chosen[2]

    def test_every_fault_type_is_chosen(self) -> None:
        """A hundred rounds use every type of fault."""
        kinds = Counter(
            type(fault).__name__
            for seed in range(100)
            for fault in choose_faults(random.Random(seed), _DAEMONS)
        )
        assert len(kinds) == 10


class TestDuplicateRuns:
    """Detection of non-idempotent requests that ran too often."""

    def test_no_duplicates(self, tmp_path: Path) -> None:
        """Single runs are accepted, and a truncated line is ignored."""
        logs = _logs(tmp_path, '{"run": "a"}\n{"run": "b"}\n', '{"run": "a')
        assert not list(find_duplicate_runs({'c'}, logs))

    def test_request_that_ran_twice(self, tmp_path: Path) -> None:
        """Two runs on different servers are reported."""
        logs = _logs(tmp_path, '{"run": "a"}\n', '{"run": "a"}\n')
        assert list(find_duplicate_runs(set(), logs)) == [
            'a is not idempotent and ran 2 times',
        ]

    def test_refused_and_run(self, tmp_path: Path) -> None:
        """A run of a request that was refused as not run is reported."""
        logs = _logs(tmp_path, '{"run": "a"}\n')
        assert list(find_duplicate_runs({'a'}, logs)) == [
            'a was refused as not run but ran',
        ]


class TestFaultTracker:
    """Record of the daemons that faults affect."""

    def test_affected_during_and_after_fault(self) -> None:
        """A fault affects only its daemon, and only until its end."""
        fault_tracker = FaultTracker()
        assert fault_tracker.is_unaffected_since('vm-0', 0.1)
        fault_tracker.record_start(('vm-0',))
        fault_tracker.record_start(('vm-0',))
        fault_tracker.record_end(('vm-0',))
        assert not fault_tracker.is_unaffected_since('vm-0', float('inf'))
        fault_tracker.record_end(('vm-0',))
        assert fault_tracker.is_unaffected_since('vm-0', float('inf'))
        assert not fault_tracker.is_unaffected_since('vm-0', 0.1)
        assert fault_tracker.is_unaffected_since('vm-1', 0.1)


def _logs(directory: Path, *texts: str) -> list[Path]:
    paths = []
    for number, text in enumerate(texts):
        path = directory / f'{number}.out'
        path.write_text(text)
        paths.append(path)
    return paths
