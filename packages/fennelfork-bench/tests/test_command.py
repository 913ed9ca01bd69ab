"""The operators' command against real daemons, as in first-front.md."""

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
_PATIENCE_S = 30
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
class _Ended:
    """How a command ended."""

    code: int
    out: str
    err: str

    @property
    def tree(self) -> Any:
        """What `--json` printed."""
        return json.loads(self.out)


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Start two daemons and create a front by the command."""
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
) -> Callable[..., _Ended]:
    """Run a command against the fleet, addresses from the environment."""
    monkeypatch.setenv('FENNELFORK_OPERATOR', fleet.operators[0])
    monkeypatch.setenv('FENNELFORK_CALLER', fleet.callers[0])
    return lambda line: _run(line, capsys)


def _run(line: str, capsys: pytest.CaptureFixture[str]) -> _Ended:
    code = run(line.split())
    out, err = capsys.readouterr()
    return _Ended(code=code, out=out, err=err)


def _write(path: pathlib.Path, text: str) -> pathlib.Path:
    path.write_text(text)
    return path


def _version(command: Any) -> int:
    return int(command('config show --json').tree['version'])


class TestFirstFront:
    """The page's commands on a front that the command created."""

    def test_is_in_force(self, command: Any) -> None:
        """Both daemons come to run it, and then the status exits 0."""
        wait_until(
            lambda: command('config status').out.count('vm-') == 2,
            _PATIENCE_S,
            'two daemons',
        )
        assert command('config status').code == 0

    def test_shows_it(self, command: Any) -> None:
        """The front is listed with its shard, home and server."""
        assert 'raft-search' in command('front list').out
        tree = command('front show raft-search --json').tree
        assert tree['shards'][0]['home'] in {'vm-1', 'vm-2'}

    def test_asks_and_explains(self, command: Any) -> None:
        """A whole answer exits 0, and its story can be read."""
        ended = command('query raft-search --deadline-ms 5000 --request-id q1')
        assert ended.code == 0
        assert f'{_KEYS} records' in ended.out
        assert 'outcome: complete' in command('explain q1').out
        assert command('explain unheard-of').code == 3

    def test_a_race_has_one_winner(
        self,
        command: Any,
        tmp_path: pathlib.Path,
    ) -> None:
        """The loser exits 3 and sees who won and what is left."""
        patch_file = _write(tmp_path / 'a.toml', _HEDGE.format(budget=0.03))
        other = _write(tmp_path / 'b.toml', _HEDGE.format(budget=0.02))
        base = _version(command)
        assert '0.05' in command(f'config diff {patch_file}').out
        line = f'config patch --base {base} --author'
        assert command(f'{line} anna {patch_file}').code == 0
        lost = command(f'{line} bruno {other}')
        assert lost.code == 3
        assert f'version {base + 1} is in force' in lost.err
        assert 'anna' in lost.err
        assert lost.err.splitlines()[-1].split()[-2:] == ['0.03', '0.02']
        assert 'anna' in command('config history').out

    def test_bad_patch(self, command: Any, tmp_path: pathlib.Path) -> None:
        """A faulty patch exits 3 with path and what is allowed."""
        patch_file = _write(tmp_path / 'c.toml', _HEDGE.format(budget=7))
        base = _version(command)
        ended = command(f'config patch --base {base} {patch_file}')
        assert ended.code == 3
        assert 'fronts.raft-search.hedge.budget: ' in ended.err
        assert 'allowed: ' in ended.err

    def test_executes_once(self, command: Any) -> None:
        """An execution exits 0; its pair of id and ticket runs once."""
        line = 'execute raft-search --key 7 --action issue --json'
        first = command(line)
        assert first.code == 0, first.err
        assert first.tree['key'] == 7
        refused = command('execute no-such --key 7 --action issue')
        assert refused.code == 3

    def test_entries(self, fleet: Fleet, command: Any) -> None:
        """A caller is told addresses of the fleet."""
        tree = command('entries --json').tree
        found = {entry['address'] for entry in tree['entries']}
        assert found <= set(fleet.callers)
