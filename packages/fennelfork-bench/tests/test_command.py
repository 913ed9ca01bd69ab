"""Tests of the operator command against real daemons.

The commands follow docs/operators/first-front.md.
"""

import json
import pathlib
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import pytest

from fennelfork_bench.rig._config import await_version
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import rig, wait_until
from fennelfork_bench.rig._specs import (
    BackendSpec,
    FleetSpec,
    FrontSpec,
    ShardSpec,
    daemon_specs,
)
from fennelfork_cli.__main__ import run

pytestmark = pytest.mark.process

_KEYS = 40
_TIMEOUT_S = 30
_PATCH = """
[fronts.raft-search]
keys = 40
[fronts.raft-search.shards.s0.servers.raft-a]
address = "{address}"
data_centre = "dc-1"
slots = 5
connections = 40
connect_ms = 6
[tenants.salvare]
weight = 2
"""
_HEDGE = '[fronts.raft-search.hedge]\nbudget = {budget}\n'


@attrs.frozen(kw_only=True)
class _CommandOutcome:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str

    @property
    def payload(self) -> Any:
        """JSON value that `--json` printed."""
        return json.loads(self.out)


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Start two daemons and create a front with the command."""
    server = BackendSpec(name='raft-a', lo=0, hi=_KEYS, keys=_KEYS, mean_ms=1)
    shard = ShardSpec(name='s0', servers=(server,))
    front = FrontSpec(name='raft-search', keys=_KEYS, shards=(shard,))
    spec = FleetSpec(fronts=(front,), daemons=daemon_specs(2))
    with rig() as own:
        started = empty_fleet(own, spec).start_backends().start_daemons()
        path = tmp_path_factory.mktemp('patch') / 'raft-search.toml'
        address = started.backends['raft-a'].ready['address']
        path.write_text(_PATCH.format(address=address))
        operator = started.operators[0]
        line = f'config patch --base 0 {path} --operator {operator}'
        assert run(line.split()) == 0
        await_version(started, 1)
        yield started


@pytest.fixture
def command(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> Callable[..., _CommandOutcome]:
    """Return a function that runs a command against the fleet.

    The command reads the addresses from environment variables.
    """
    monkeypatch.setenv('FENNELFORK_OPERATOR', fleet.operators[0])
    monkeypatch.setenv('FENNELFORK_CALLER', fleet.callers[0])
    return lambda line: _run(line, capsys)


def _run(line: str, capsys: pytest.CaptureFixture[str]) -> _CommandOutcome:
    code = run(line.split())
    out, err = capsys.readouterr()
    return _CommandOutcome(code=code, out=out, err=err)


def _write(path: pathlib.Path, text: str) -> pathlib.Path:
    path.write_text(text)
    return path


def _version(command: Any) -> int:
    return int(command('config show --json').payload['version'])


class TestFirstFront:
    """Commands for a front that the command created."""

    def test_becomes_active(self, command: Any) -> None:
        """The status exits 0 once both daemons are listed."""
        wait_until(
            lambda: command('config status').out.count('vm-') == 2,
            _TIMEOUT_S,
            'two daemons',
        )
        assert command('config status').code == 0

    def test_shows_front(self, command: Any) -> None:
        """The front is listed, and its shard has a home daemon."""
        assert 'raft-search' in command('front list').out
        payload = command('front show raft-search --json').payload
        assert payload['shards'][0]['home'] in {'vm-1', 'vm-2'}

    def test_query_and_explain(self, command: Any) -> None:
        """A complete answer leads to exit code 0 and can be explained."""
        command_outcome = command(
            'query raft-search --deadline-ms 5000 --request-id q1'
        )
        assert command_outcome.code == 0
        assert f'{_KEYS} records' in command_outcome.out
        assert 'outcome: complete' in command('explain q1').out
        assert command('explain unheard-of').code == 3

    def test_concurrent_patches(
        self,
        command: Any,
        tmp_path: pathlib.Path,
    ) -> None:
        """The second of two patches against one version is refused."""
        patch_file = _write(tmp_path / 'a.toml', _HEDGE.format(budget=0.03))
        other = _write(tmp_path / 'b.toml', _HEDGE.format(budget=0.02))
        base = _version(command)
        assert '0.05' in command(f'config diff {patch_file}').out
        line = f'config patch --base {base} --author'
        assert command(f'{line} anna {patch_file}').code == 0
        conflict = command(f'{line} bruno {other}')
        assert conflict.code == 3
        assert f'version {base + 1} is active' in conflict.err
        assert 'anna' in conflict.err
        assert conflict.err.splitlines()[-1].split()[-2:] == ['0.03', '0.02']
        assert 'anna' in command('config history').out

    def test_bad_patch(self, command: Any, tmp_path: pathlib.Path) -> None:
        """An invalid patch leads to exit code 3 and shows allowed values."""
        patch_file = _write(tmp_path / 'c.toml', _HEDGE.format(budget=7))
        base = _version(command)
        command_outcome = command(f'config patch --base {base} {patch_file}')
        assert command_outcome.code == 3
        assert 'fronts.raft-search.hedge.budget: ' in command_outcome.err
        assert 'allowed: ' in command_outcome.err

    def test_executes_once(self, command: Any) -> None:
        """An execution exits 0; an execution on an unknown front exits 3."""
        line = 'execute raft-search --key 7 --action issue --json'
        first = command(line)
        assert first.code == 0, first.err
        assert first.payload['key'] == 7
        refused = command('execute no-such --key 7 --action issue')
        assert refused.code == 3

    def test_entries(self, fleet: Fleet, command: Any) -> None:
        """The entry addresses are caller addresses of the fleet."""
        payload = command('entries --json').payload
        caller_addresses = {entry['address'] for entry in payload['entries']}
        assert caller_addresses <= set(fleet.callers)
