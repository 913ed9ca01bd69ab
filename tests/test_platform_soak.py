"""The soak of the programs on the platform: short rounds, and its own checks."""

import random
from collections import Counter
from pathlib import Path

import pytest

from fennelfork_platform_bench.soak._checks import once_problems
from fennelfork_platform_bench.soak._fault_catalogue import draw_faults
from fennelfork_platform_bench.soak._fault_tracker import Excuses
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
class TestFatalRounds:
    """Rounds in which requests come that end the servers which run them."""

    def test_round(self) -> None:
        """Few of their tries reach servers, and all is whole afterwards."""
        assert not run_platform_round(4, Size(), fatal=True).broken


class TestDraw:
    """What strikes is fixed by the seed."""

    def test_same_seed(self) -> None:
        """The same seed gives the same faults, another gives others."""
        drawn = [
            draw_faults(random.Random(seed), _DAEMONS) for seed in (7, 7, 8)
        ]
        assert drawn[0] == drawn[1]
        assert drawn[1] != drawn[2]

    def test_every_kind_comes(self) -> None:
        """Some hundred rounds leave no kind out."""
        kinds = Counter(
            type(fault).__name__
            for seed in range(100)
            for fault in draw_faults(random.Random(seed), _DAEMONS)
        )
        assert len(kinds) == 10


class TestOnce:
    """Requests that may run once, as servers and callers saw them."""

    def test_all_well(self, tmp_path: Path) -> None:
        """One run each, none of what was refused; a torn line counts not."""
        logs = _logs(tmp_path, '{"run": "a"}\n{"run": "b"}\n', '{"run": "a')
        assert not list(once_problems({'c'}, logs))

    def test_twice(self, tmp_path: Path) -> None:
        """Two runs are told, also on different servers."""
        logs = _logs(tmp_path, '{"run": "a"}\n', '{"run": "a"}\n')
        assert list(once_problems(set(), logs)) == [
            'a may run once and ran 2 times',
        ]

    def test_refused_and_run(self, tmp_path: Path) -> None:
        """A refusal that was not true is told."""
        logs = _logs(tmp_path, '{"run": "a"}\n')
        assert list(once_problems({'a'}, logs)) == [
            'a was refused as not run, and ran',
        ]


class TestExcuses:
    """Who cannot be expected to be up to date."""

    def test_while_struck_and_after(self) -> None:
        """A fault excuses what was due before its end, and no other daemon."""
        excuses = Excuses()
        assert excuses.calm_since('vm-0', 0.1)
        excuses.begin(('vm-0',))
        excuses.begin(('vm-0',))
        excuses.end(('vm-0',))
        assert not excuses.calm_since('vm-0', float('inf'))
        excuses.end(('vm-0',))
        assert excuses.calm_since('vm-0', float('inf'))
        assert not excuses.calm_since('vm-0', 0.1)
        assert excuses.calm_since('vm-1', 0.1)


def _logs(directory: Path, *texts: str) -> list[Path]:
    paths = []
    for number, text in enumerate(texts):
        path = directory / f'{number}.out'
        path.write_text(text)
        paths.append(path)
    return paths
