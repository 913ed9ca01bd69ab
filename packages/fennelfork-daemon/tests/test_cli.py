"""Tests of the command line of `fennelforkd`."""

import pathlib
import subprocess
import sys
from typing import Any

import attrs
import pytest

from fennelfork_daemon._fennelforkd import run_command
from fennelfork_daemon.settings._tables import Settings

_EXAMPLE = pathlib.Path(__file__).parents[3] / 'examples/fennelforkd.toml'


@attrs.define
class _RecordingServer:
    """Serve function that records the settings."""

    served: list[Settings] = attrs.field(factory=list)

    def __call__(self, settings: Settings) -> int:
        """Record the settings and return exit code 0."""
        self.served.append(settings)
        return 0


@pytest.fixture
def server() -> _RecordingServer:
    """Build a serve function that starts nothing."""
    return _RecordingServer()


@pytest.fixture
def bad_file(tmp_path: pathlib.Path) -> str:
    """Write settings with two invalid and many missing values."""
    path = tmp_path / 'bad.toml'
    path.write_text('[daemon]\nname = "a b"\n[timeouts]\nidle_ms = "5s"\n')
    return str(path)


class TestRunCommand:
    """Starts, settings checks and usage errors."""

    @pytest.mark.parametrize('line', ['--config {}', '--config={}'])
    def test_serves(self, line: str, server: _RecordingServer) -> None:
        """Valid settings reach the serve function."""
        # The path of the checkout may contain a space.
        tokens = [token.format(_EXAMPLE) for token in line.split()]
        assert run_command(tokens, server) == 0
        assert server.served[0].daemon.name == 'vm-1'

    def test_starts_nothing_on_bad_settings(
        self,
        bad_file: str,
        server: _RecordingServer,
        capsys: Any,
    ) -> None:
        """Invalid settings list all errors on standard error and exit 2."""
        assert run_command(['--config', bad_file], server) == 2
        assert not server.served
        lines = capsys.readouterr().err.splitlines()
        assert lines[0].startswith('daemon.name: ')
        assert any(line.startswith('timeouts.idle_ms: ') for line in lines)

    def test_unreadable_file(
        self, server: _RecordingServer, capsys: Any
    ) -> None:
        """A missing file prints one error line and exits 2."""
        assert run_command(['--config', 'none.toml'], server) == 2
        assert capsys.readouterr().err.count('\n') == 1
        assert not server.served

    def test_check_command(
        self,
        bad_file: str,
        server: _RecordingServer,
        capsys: Any,
    ) -> None:
        """`check` reports valid and invalid settings and starts nothing."""
        assert run_command(['check', str(_EXAMPLE)], server) == 0
        assert capsys.readouterr().out.endswith(': good\n')
        assert run_command(['check', bad_file], server) == 2
        assert not server.served

    @pytest.mark.parametrize('line', ['', '--confg x', 'check', 'serve x'])
    def test_bad_usage(self, line: str, server: _RecordingServer) -> None:
        """Unknown options and commands exit 2 and start nothing."""
        assert run_command(line.split(), server) == 2
        assert not server.served

    def test_version_and_help(
        self, server: _RecordingServer, capsys: Any
    ) -> None:
        """Version and help exit 0 and start nothing."""
        assert run_command(['--version'], server) == 0
        assert capsys.readouterr().out.strip() == '0.1.0'
        assert run_command(['--help'], server) == 0
        assert 'Example: fennelforkd --config' in capsys.readouterr().out
        assert not server.served

    def test_usual_start_loads_no_command_line_library(self) -> None:
        """`--config` does not import cyclopts, which would stay in memory."""
        code = (
            'import sys; from fennelfork_daemon._fennelforkd import run_command; '
            'run_command(sys.argv[1:], lambda settings: 0); '
            'sys.exit("cyclopts" in sys.modules)'
        )
        tokens = ['--config', str(_EXAMPLE)]
        completed = subprocess.run([sys.executable, '-c', code, *tokens])
        assert completed.returncode == 0
