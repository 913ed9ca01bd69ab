"""Tests of the settings file and the command line of the daemon."""

import os
import pathlib
import subprocess
import sys

import pytest
from platform_builders import SETTINGS
from returns.result import Failure

from fennelfork.workspaces import QuotaPolicy
from fennelfork_daemon._address import Address
from fennelfork_platform._settings import load_settings


class TestSettings:
    """Reading and validation of the settings file."""

    def test_read(self, tmp_path: pathlib.Path) -> None:
        """Settings are decoded and unknown fields are ignored."""
        outcome = load_settings(_write_settings(tmp_path, SETTINGS)).unwrap()
        assert outcome.name == 'front-tulcea-1'
        assert outcome.data_centre == 'tulcea'
        assert outcome.caller == Address(host='10.0.0.1', port=8226)
        assert outcome.operator is None
        assert outcome.repeats.fixed == 58
        assert outcome.stop_ms == 6000
        assert outcome.in_force_ms == 3000
        assert not outcome.processor_cores

    def test_quota(self, tmp_path: pathlib.Path) -> None:
        """The bound on a workspace is optional, by default its limit."""
        stated = SETTINGS.replace(
            '[Bounds]',
            '[Bounds]\nQuotaWindowS = 4\nQuotaExcess = 0.2\nQuotaSlack = 7',
        )
        outcome = load_settings(_write_settings(tmp_path, stated)).unwrap()
        assert outcome.quota == QuotaPolicy(window_ms=4000, excess=0.2, slack=7)
        outcome = load_settings(_write_settings(tmp_path, SETTINGS)).unwrap()
        assert outcome.quota == QuotaPolicy()

    def test_processor_capacity(self, tmp_path: pathlib.Path) -> None:
        """The capacity is the share of a core times its speed."""
        limits = '[Limits]\nCpuShare = 0.537\nCpuCores = 2\n'
        outcome = load_settings(_write_settings(tmp_path, SETTINGS + limits))
        assert outcome.unwrap().processor_cores == pytest.approx(1.074)

    def test_invalid_processor_capacity(self, tmp_path: pathlib.Path) -> None:
        """A capacity that is not a number is a problem."""
        limits = '[Limits]\nCpuShare = "half"\nCpuCores = 2\n'
        read = load_settings(_write_settings(tmp_path, SETTINGS + limits))
        assert read.failure() == (
            "Limits.CpuShare: 'half' is not a finite number of at least 0",
        )

    @pytest.mark.parametrize(
        ('removed_lines', 'in_force_ms'),
        [
            (('ConfigApplyMs = 5000',), 3000),
            (('DrainMs = 3000',), 5000),
            (('ConfigApplyMs = 5000', 'DrainMs = 3000'), 3000),
        ],
    )
    def test_bounds_on_changes(
        self,
        tmp_path: pathlib.Path,
        removed_lines: tuple[str, ...],
        in_force_ms: float,
    ) -> None:
        """The lowest bound applies, or a default if there is none."""
        text = SETTINGS
        for line in removed_lines:
            text = text.replace(line, '')
        outcome = load_settings(_write_settings(tmp_path, text)).unwrap()
        assert outcome.in_force_ms == in_force_ms

    @pytest.mark.parametrize(
        ('old', 'new', 'expected'),
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
    def test_invalid_setting(
        self,
        tmp_path: pathlib.Path,
        old: str,
        new: str,
        expected: str,
    ) -> None:
        """The only line of the failure names the setting."""
        read = load_settings(
            _write_settings(tmp_path, SETTINGS.replace(old, new))
        )
        assert isinstance(read, Failure)
        lines = read.failure()
        assert len(lines) == 1
        assert '\n' not in lines[0]
        assert expected in lines[0]

    def test_all_problems(self, tmp_path: pathlib.Path) -> None:
        """One read reports each invalid setting with the table."""
        text = (
            SETTINGS.replace('GraceS = 6', '')
            .replace('10.0.0.1:8226', 'front:8226')
            .replace('Zone = "tulcea"', 'Zone = 5')
        )
        lines = load_settings(_write_settings(tmp_path, text)).failure()
        assert len(lines) == 3
        assert 'Bounds.GraceS: is missing' in lines
        assert any(line.startswith('Listen.Front: ') for line in lines)
        assert 'Zone: 5 is not a non-empty string' in lines

    def test_no_file(self, tmp_path: pathlib.Path) -> None:
        """The failure for a missing file contains the path."""
        lines = load_settings(tmp_path / 'none').failure()
        assert len(lines) == 1
        assert 'none' in lines[0]


class TestCommand:
    """The command line of the program."""

    def test_check(self, tmp_path: pathlib.Path) -> None:
        """`check` validates the file and sets the exit code."""
        good = _run('check', str(_write_settings(tmp_path, SETTINGS)))
        assert good.returncode == 0
        assert good.stdout.endswith(': good\n')
        bad_text = SETTINGS.replace('GraceS = 6', 'GraceS = "6"')
        bad = _run('check', str(_write_settings(tmp_path, bad_text)))
        assert bad.returncode == 2
        assert 'Bounds.GraceS' in bad.stderr

    def test_help(self) -> None:
        """`--help` names the environment variable and the exit codes."""
        outcome = _run('--help')
        assert outcome.returncode == 0
        assert 'FENNELFORK_NODE_FILE' in outcome.stdout
        assert 'Exit codes' in outcome.stdout

    @pytest.mark.parametrize('arguments', [(), ('serve',), ('--confg', 'x')])
    def test_usage(self, arguments: tuple[str, ...]) -> None:
        """Invalid arguments and a missing file exit with 2."""
        assert _run(*arguments).returncode == 2

    def test_bad_file_by_variable(self, tmp_path: pathlib.Path) -> None:
        """An invalid file from the environment variable exits with 2."""
        path = _write_settings(tmp_path, SETTINGS.replace('GraceS = 6', ''))
        outcome = _run(FENNELFORK_NODE_FILE=str(path))
        assert outcome.returncode == 2
        assert outcome.stderr == 'Bounds.GraceS: is missing\n'


def _run(
    *arguments: str, **variables: str
) -> 'subprocess.CompletedProcess[str]':
    environment = dict(os.environ, **variables)
    if not variables:
        environment.pop('FENNELFORK_NODE_FILE', None)
    return subprocess.run(
        [sys.executable, '-m', 'fennelfork_platform', *arguments],
        capture_output=True,
        text=True,
        env=environment,
    )


def _write_settings(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / 'local.toml'
    path.write_text(text, encoding='utf-8')
    return path
