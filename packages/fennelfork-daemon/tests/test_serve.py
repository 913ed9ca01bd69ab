"""The process `fennelforkd` from outside."""

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

_PATIENCE_S = 30


@attrs.frozen(kw_only=True)
class _Running:
    """A daemon that serves, and its log."""

    ready: dict[str, str]
    log: pathlib.Path

    def page(self, path: str) -> Any:
        """Read a page of the operator face."""
        url = f'http://{self.ready["operator"]}{path}'
        return urllib3.request('GET', url, retries=False)

    def lines(self, subject: str) -> list[dict[str, Any]]:
        """Give the log lines on a subject."""
        found = map(json.loads, self.log.read_text().splitlines())
        return [line for line in found if line['subject'] == subject]


def _command(path: pathlib.Path) -> list[str]:
    return [sys.executable, '-m', 'fennelfork_daemon', '--config', str(path)]


@pytest.fixture
def running(tmp_path: pathlib.Path) -> Iterator[_Running]:
    """Start a daemon whose platform is not there."""
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
        yield _Running(ready=ready, log=log)
        process.kill()


class TestServe:
    """Starting with things missing."""

    def test_unreachable_platform(self, running: _Running) -> None:
        """It lives, is not ready, says why, and logs that in one line."""
        until = time.monotonic() + _PATIENCE_S
        while not running.lines('key-value service'):
            assert time.monotonic() < until
            time.sleep(0.05)
        assert running.page('/healthz').status == 200
        found = running.page('/readyz')
        assert found.status == 503
        assert len(found.json()['reasons']) == 2
        lines = running.lines('key-value service')
        assert [line['state'] for line in lines] == ['fails']
        assert '127.0.0.1:1' in lines[0]['detail']

    def test_port_in_use(
        self,
        running: _Running,
        tmp_path: pathlib.Path,
    ) -> None:
        """A taken address is one line, exit 1, and no ready line."""
        taken = running.ready['caller']
        path = tmp_path / 'vm-2.toml'
        path.write_text(settings_toml(caller=taken))
        found = subprocess.run(
            _command(path),
            capture_output=True,
            timeout=_PATIENCE_S,
        )
        assert found.returncode == 1
        assert found.stdout == b''
        assert found.stderr.decode() == (
            f'listen.caller: cannot listen on {taken}: '
            'the address is already in use\n'
        )

    def test_unreadable_file(self, tmp_path: pathlib.Path) -> None:
        """A file that cannot be read is one line, exit 2."""
        path = tmp_path / 'none.toml'
        found = subprocess.run(
            _command(path),
            capture_output=True,
            timeout=_PATIENCE_S,
        )
        assert found.returncode == 2
        assert found.stderr.decode().startswith(f'{path}: cannot be read')
        assert found.stderr.count(b'\n') == 1


class TestImports:
    """What a serving process keeps in memory."""

    def test_no_resolver_no_rich_no_command_line(self) -> None:
        """Libraries that a daemon never needs are not loaded."""
        code = (
            'import sys, fennelfork_daemon.__main__; '
            'print({"dns", "rich", "cyclopts", "numpy"} & set(sys.modules))'
        )
        found = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            timeout=_PATIENCE_S,
        )
        assert found.stdout == b'set()\n'
