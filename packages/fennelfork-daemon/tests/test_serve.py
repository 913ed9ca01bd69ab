"""Tests of the process `fennelforkd`."""

import json
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
import urllib3
from daemon_builders_product import settings_toml

pytestmark = pytest.mark.process

_TIMEOUT_S = 30


@attrs.frozen(kw_only=True)
class _RunningDaemon:
    """Addresses and log file of a running daemon."""

    ready: dict[str, str]
    log: pathlib.Path

    def page(self, path: str) -> Any:
        """Request a page of the operator API."""
        url = f'http://{self.ready["operator"]}{path}'
        return urllib3.request('GET', url, retries=False)

    def lines(self, subject: str) -> list[dict[str, Any]]:
        """Return the log lines of a subject."""
        entries = map(json.loads, self.log.read_text().splitlines())
        return [line for line in entries if line['subject'] == subject]


def _command(path: pathlib.Path) -> list[str]:
    return [sys.executable, '-m', 'fennelfork_daemon', '--config', str(path)]


@pytest.fixture
def running(tmp_path: pathlib.Path) -> Iterator[_RunningDaemon]:
    """Start a daemon with an unreachable platform."""
    path = tmp_path / 'vm-1.toml'
    path.write_text(settings_toml())
    log = tmp_path / 'log'
    with (
        log.open('w') as stream,
        subprocess.Popen(
            _command(path),
            stdout=subprocess.PIPE,
            stderr=stream,
        ) as process,
    ):
        ready = json.loads(process.stdout.readline())['ready']
        yield _RunningDaemon(ready=ready, log=log)
        process.kill()


class TestServe:
    """Starts with unavailable dependencies."""

    def test_unreachable_platform(self, running: _RunningDaemon) -> None:
        """The daemon is alive but not ready, and logs the reason once."""
        deadline = time.monotonic() + _TIMEOUT_S
        while not running.lines('key-value service'):
            assert time.monotonic() < deadline
            time.sleep(0.05)
        assert running.page('/healthz').status == 200
        readiness = running.page('/readyz')
        assert readiness.status == 503
        assert len(readiness.json()['reasons']) == 2
        lines = running.lines('key-value service')
        assert [line['state'] for line in lines] == ['fails']
        assert '127.0.0.1:1' in lines[0]['detail']

    def test_port_in_use(
        self,
        running: _RunningDaemon,
        tmp_path: pathlib.Path,
    ) -> None:
        """An address in use prints one error line and exits 1."""
        taken = running.ready['caller']
        path = tmp_path / 'vm-2.toml'
        path.write_text(settings_toml(caller=taken))
        completed = subprocess.run(
            _command(path),
            capture_output=True,
            timeout=_TIMEOUT_S,
        )
        assert completed.returncode == 1
        assert completed.stdout == b''
        assert completed.stderr.decode() == (
            f'listen.caller: cannot listen on {taken}: '
            'the address is already in use\n'
        )

    def test_unreadable_file(self, tmp_path: pathlib.Path) -> None:
        """An unreadable file prints one error line and exits 2."""
        path = tmp_path / 'none.toml'
        completed = subprocess.run(
            _command(path),
            capture_output=True,
            timeout=_TIMEOUT_S,
        )
        assert completed.returncode == 2
        assert completed.stderr.decode().startswith(f'{path}: cannot be read')
        assert completed.stderr.count(b'\n') == 1


class TestImports:
    """Modules that a serving process imports."""

    def test_no_resolver_no_rich_no_command_line(self) -> None:
        """Libraries that a daemon does not need are not imported."""
        code = (
            'import sys, fennelfork_daemon.__main__; '
            'print({"dns", "rich", "cyclopts", "numpy"} & set(sys.modules))'
        )
        completed = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            timeout=_TIMEOUT_S,
        )
        assert completed.stdout == b'set()\n'
