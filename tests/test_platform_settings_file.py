"""The settings file of a process on the platform."""

import os
import pathlib
import subprocess
import sys

import pytest
from platform_builders import SETTINGS
from returns.result import Failure

from fennelfork_daemon._address import Address
from fennelfork_platform._settings import load_file


class TestSettings:
    """What is read, and a line for each thing that cannot be."""

    def test_read(self, tmp_path: pathlib.Path) -> None:
        """Names are turned into ours; unknown fields are left alone."""
        found = load_file(_written(tmp_path, SETTINGS)).unwrap()
        assert found.name == 'front-tulcea-1'
        assert found.data_centre == 'tulcea'
        assert found.caller == Address(host='10.0.0.1', port=8226)
        assert found.operator is None
        assert found.repeats.fixed == 58
        assert found.stop_ms == 6000
        assert found.in_force_ms == 3000

    @pytest.mark.parametrize(
        ('left_out', 'in_force_ms'),
        [
            (('ConfigApplyMs = 5000',), 3000),
            (('DrainMs = 3000',), 5000),
            (('ConfigApplyMs = 5000', 'DrainMs = 3000'), 3000),
        ],
    )
    def test_bounds_on_changes(
        self,
        tmp_path: pathlib.Path,
        left_out: tuple[str, ...],
        in_force_ms: float,
    ) -> None:
        """The stricter one that is there counts; none is a strict one."""
        text = SETTINGS
        for line in left_out:
            text = text.replace(line, '')
        found = load_file(_written(tmp_path, text)).unwrap()
        assert found.in_force_ms == in_force_ms

    @pytest.mark.parametrize(
        ('old', 'new', 'said'),
        [
            ('NodeName = "front-tulcea-1"', '', 'NodeName'),
            ('GraceS = 6', 'GraceS = "6"', 'GraceS'),
            ('10.0.0.1:8226', 'front:8226', 'Front'),
            ('[Listen]', '[Listens]', 'Listen'),
            ('Zone = "tulcea"', 'Zone = ""', 'Zone'),
            ('RetrySlack = 58', 'RetrySlack = true', 'RetrySlack'),
            ('RetrySlack = 58', 'RetrySlack = -1', 'RetrySlack'),
            ('GraceS = 6', 'GraceS = nan', 'GraceS'),
            ('GraceS = 6', 'GraceS = inf', 'GraceS'),
            ('DrainMs = 3000', 'DrainMs = "3 s"', 'DrainMs'),
            ('Zone = "tulcea"', 'Zone = 5', 'Zone'),
            ('[Zones]', '[Zones', 'TOML'),
        ],
    )
    def test_fault(
        self,
        tmp_path: pathlib.Path,
        old: str,
        new: str,
        said: str,
    ) -> None:
        """One line names the setting."""
        read = load_file(_written(tmp_path, SETTINGS.replace(old, new)))
        assert isinstance(read, Failure)
        lines = read.failure()
        assert len(lines) == 1
        assert '\n' not in lines[0]
        assert said in lines[0]

    def test_all_faults(self, tmp_path: pathlib.Path) -> None:
        """One reading names every fault, each with its table."""
        text = (
            SETTINGS.replace('GraceS = 6', '')
            .replace('10.0.0.1:8226', 'front:8226')
            .replace('Zone = "tulcea"', 'Zone = 5')
        )
        lines = load_file(_written(tmp_path, text)).failure()
        assert len(lines) == 3
        assert 'Bounds.GraceS: is missing' in lines
        assert any(line.startswith('Listen.Front: ') for line in lines)
        assert 'Zone: 5 is not a text' in lines

    def test_no_file(self, tmp_path: pathlib.Path) -> None:
        """A missing file is told by its path."""
        lines = load_file(tmp_path / 'none').failure()
        assert len(lines) == 1
        assert 'none' in lines[0]


class TestCommand:
    """The command line of the program."""

    def test_check(self, tmp_path: pathlib.Path) -> None:
        """`check` says good or names the faults, and starts nothing."""
        good = _run('check', str(_written(tmp_path, SETTINGS)))
        assert good.returncode == 0
        assert good.stdout.endswith(': good\n')
        bad_text = SETTINGS.replace('GraceS = 6', 'GraceS = "6"')
        bad = _run('check', str(_written(tmp_path, bad_text)))
        assert bad.returncode == 2
        assert 'Bounds.GraceS' in bad.stderr

    def test_help(self) -> None:
        """Help names the variable and the exit codes."""
        found = _run('--help')
        assert found.returncode == 0
        assert 'FENNELFORK_NODE_FILE' in found.stdout
        assert 'Exit codes' in found.stdout

    @pytest.mark.parametrize('words', [(), ('serve',), ('--confg', 'x')])
    def test_usage(self, words: tuple[str, ...]) -> None:
        """Words that it does not know exit 2, as does no file at all."""
        assert _run(*words).returncode == 2

    def test_bad_file_by_variable(self, tmp_path: pathlib.Path) -> None:
        """The file that the variable names is refused with its faults."""
        path = _written(tmp_path, SETTINGS.replace('GraceS = 6', ''))
        found = _run(FENNELFORK_NODE_FILE=str(path))
        assert found.returncode == 2
        assert found.stderr == 'Bounds.GraceS: is missing\n'


def _run(*words: str, **variables: str) -> 'subprocess.CompletedProcess[str]':
    environment = dict(os.environ, **variables)
    if not variables:
        environment.pop('FENNELFORK_NODE_FILE', None)
    return subprocess.run(
        [sys.executable, '-m', 'fennelfork_platform', *words],
        capture_output=True,
        text=True,
        env=environment,
    )


def _written(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / 'local.toml'
    path.write_text(text, encoding='utf-8')
    return path
