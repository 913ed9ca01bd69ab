"""The settings file of a process on the platform."""

import pathlib

import pytest
from platform_builders import SETTINGS
from returns.result import Failure

from fennelfork_daemon._address import Address
from fennelfork_platform._settings import load_file


class TestSettings:
    """What is read, and one line for what cannot be."""

    def test_read(self, tmp_path: pathlib.Path) -> None:
        """Names are turned into ours; unknown fields are left alone."""
        found = load_file(_written(tmp_path, SETTINGS)).unwrap()
        assert found.name == 'front-tulcea-1'
        assert found.data_centre == 'tulcea'
        assert found.caller == Address(host='10.0.0.1', port=8226)
        assert found.operator is None
        assert found.repeats.fixed == 58
        assert found.stop_ms == 6000

    @pytest.mark.parametrize(
        ('old', 'new', 'said'),
        [
            ('NodeName = "front-tulcea-1"', '', 'NodeName'),
            ('GraceS = 6', 'GraceS = "6"', 'GraceS'),
            ('10.0.0.1:8226', 'front:8226', 'Front'),
            ('[Listen]', '[Listens]', 'Listen'),
            ('Zone = "tulcea"', 'Zone = ""', 'Zone'),
            ('RetrySlack = 58', 'RetrySlack = true', 'RetrySlack'),
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
        line = read.failure()
        assert '\n' not in line
        assert said in line or said == 'TOML'

    def test_no_file(self, tmp_path: pathlib.Path) -> None:
        """A missing file is told by its path."""
        assert 'none' in load_file(tmp_path / 'none').failure()


def _written(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / 'local.toml'
    path.write_text(text, encoding='utf-8')
    return path
