"""The command line of `fennelforkd`."""

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
class _Server:
    """Notes what it was asked to serve."""

    served: list[Settings] = attrs.field(factory=list)

    def __call__(self, settings: Settings) -> int:
        """Serve nothing and end well."""
        self.served.append(settings)
        return 0


@pytest.fixture
def server() -> _Server:
    """Build a server that starts nothing."""
    return _Server()


@pytest.fixture
def bad_file(tmp_path: pathlib.Path) -> str:
    """Write settings with two faults and much missing."""
    path = tmp_path / 'bad.toml'
    path.write_text('[daemon]\nname = "a b"\n[timeouts]\nidle_ms = "5s"\n')
    return str(path)


class TestRunCommand:
    """Starting, checking and refusing."""

    @pytest.mark.parametrize('line', ['--config {}', '--config={}'])
    def test_serves(self, line: str, server: _Server) -> None:
        """Good settings are served."""
        # The path of the checkout may hold a space.
        words = [word.format(_EXAMPLE) for word in line.split()]
        assert run_command(words, server) == 0
        assert server.served[0].daemon.name == 'vm-1'

    def test_starts_nothing_on_bad_settings(
        self,
        bad_file: str,
        server: _Server,
        capsys: Any,
    ) -> None:
        """All faults are named on standard error, exit 2."""
        assert run_command(['--config', bad_file], server) == 2
        assert not server.served
        lines = capsys.readouterr().err.splitlines()
        assert lines[0].startswith('daemon.name: ')
        assert any(line.startswith('timeouts.idle_ms: ') for line in lines)

    def test_unreadable_file(self, server: _Server, capsys: Any) -> None:
        """A file that is not there is one line, exit 2."""
        assert run_command(['--config', 'none.toml'], server) == 2
        assert capsys.readouterr().err.count('\n') == 1
        assert not server.served

    def test_checks(
        self,
        bad_file: str,
        server: _Server,
        capsys: Any,
    ) -> None:
        """`check` says good or bad and starts nothing either way."""
        assert run_command(['check', str(_EXAMPLE)], server) == 0
        assert capsys.readouterr().out.endswith(': good\n')
        assert run_command(['check', bad_file], server) == 2
        assert not server.served

    @pytest.mark.parametrize('line', ['', '--confg x', 'check', 'serve x'])
    def test_bad_usage(self, line: str, server: _Server) -> None:
        """Words that it does not know exit 2 and start nothing."""
        assert run_command(line.split(), server) == 2
        assert not server.served

    def test_version_and_help(self, server: _Server, capsys: Any) -> None:
        """Version and help exit 0 and start nothing."""
        assert run_command(['--version'], server) == 0
        assert capsys.readouterr().out.strip() == '0.1.0'
        assert run_command(['--help'], server) == 0
        assert 'Example: fennelforkd --config' in capsys.readouterr().out
        assert not server.served

    def test_usual_start_loads_no_command_line_library(self) -> None:
        """A serving daemon does not keep cyclopts in memory."""
        code = (
            'import sys; from fennelfork_daemon._fennelforkd import run_command; '
            'run_command(sys.argv[1:], lambda settings: 0); '
            'sys.exit("cyclopts" in sys.modules)'
        )
        words = ['--config', str(_EXAMPLE)]
        found = subprocess.run([sys.executable, '-c', code, *words])
        assert found.returncode == 0
