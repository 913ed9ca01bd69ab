"""The soak of the programs on the platform: short rounds, and its own checks."""

import random
from collections import Counter
from pathlib import Path

import pytest

from fennelfork_platform_bench.soak._checks import duplicate_run_problems
from fennelfork_platform_bench.soak._fault_catalogue import choose_faults
from fennelfork_platform_bench.soak._fault_tracker import FaultTracker
from fennelfork_platform_bench.soak._round import Size, run_platform_round

_DAEMONS = ('vm-0', 'vm-1', 'vm-2')


@pytest.mark.process
class TestRounds:
    """Seeds that showed a fault once, with its cause."""

    @pytest.mark.parametrize('seed', [10, 26, 28])
    def test_forgotten_watch(self, seed: int) -> None:
        """The store forgets the watches for up to a second, and nothing else.

        Two or three daemons served an old version 3.7 s after the next was
        acknowledged: nothing bounded the age of what a watch tells.
        """
        assert not run_platform_round(seed, Size()).broken


@pytest.mark.process
class TestPoisonRounds:
    """Rounds in which requests come that end the servers which run them."""

    def test_round(self) -> None:
        """Few of their tries reach servers, and all is whole afterwards."""
        assert not run_platform_round(4, Size(), with_poison=True).broken


class TestChooseFaults:
    """What strikes is fixed by the seed."""

    def test_same_seed(self) -> None:
        """The same seed gives the same faults, another gives others."""
        chosen = [
            choose_faults(random.Random(seed), _DAEMONS) for seed in (7, 7, 8)
        ]
        assert chosen[0] == chosen[1]
        assert chosen[1] != chosen[2]

    def test_every_fault_type_is_chosen(self) -> None:
        """Some hundred rounds leave no kind out."""
        kinds = Counter(
            type(fault).__name__
            for seed in range(100)
            for fault in choose_faults(random.Random(seed), _DAEMONS)
        )
        assert len(kinds) == 10


class TestDuplicateRuns:
    """Requests that may run once, as servers and callers saw them."""

    def test_no_duplicates(self, tmp_path: Path) -> None:
        """One run each, none of what was refused; a torn line counts not."""
        logs = _logs(tmp_path, '{"run": "a"}\n{"run": "b"}\n', '{"run": "a')
        assert not list(duplicate_run_problems({'c'}, logs))

    def test_request_that_ran_twice(self, tmp_path: Path) -> None:
        """Two runs are told, also on different servers."""
        logs = _logs(tmp_path, '{"run": "a"}\n', '{"run": "a"}\n')
        assert list(duplicate_run_problems(set(), logs)) == [
            'a may run once and ran 2 times',
        ]

    def test_refused_and_run(self, tmp_path: Path) -> None:
        """A refusal that was not true is told."""
        logs = _logs(tmp_path, '{"run": "a"}\n')
        assert list(duplicate_run_problems({'a'}, logs)) == [
            'a was refused as not run, and ran',
        ]


class TestFaultTracker:
    """Who cannot be expected to be up to date."""

    def test_affected_during_and_after_fault(self) -> None:
        """A fault excuses what was due before its end, and no other daemon."""
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
