"""Tests of the command line against a scripted daemon."""

import json
import pathlib
from typing import Any

import pytest
from cli_builders import (
    Answer,
    document,
    patch_record,
    scripted_daemon,
)

_NOWHERE = '127.0.0.1:1'
_COMMANDS = (
    'front list',
    'front show',
    'config show',
    'config patch',
    'config history',
    'config status',
    'config diff',
    'members',
    'workspaces',
    'key-fingerprint',
    'entries',
    'explain',
    'query',
    'execute',
    'drain',
    'completion',
)
_FRONTS = Answer(
    payload={
        'config_version': 4,
        'fronts': [
            {
                'name': 'raft-search',
                'keys': 60,
                'hedge': 'quantile',
                'shards': [
                    {
                        'name': 's0',
                        'home': 'vm-2',
                        'servers': [
                            {
                                'name': 'raft-a',
                                'state': 'serving',
                                'slots': 5,
                                'busy': 1,
                            },
                        ],
                    },
                ],
            },
        ],
    },
)


class TestHelp:
    """Help texts and invalid arguments."""

    @pytest.mark.parametrize('name', _COMMANDS)
    def test_shows_an_example(self, name: str, command: Any) -> None:
        """The help text of each command contains an example."""
        code, out, _ = command(*name.split(), '--help')
        assert code == 0
        assert f'Example: fennelfork {name}' in out

    @pytest.mark.parametrize(
        'line',
        ['bogus', 'config patch', 'query f --deadline-ms x', 'explain'],
    )
    def test_bad_usage(self, line: str, command: Any) -> None:
        """Invalid arguments lead to exit code 2."""
        assert command(*line.split())[0] == 2

    def test_patch_file_with_invalid_toml(
        self,
        tmp_path: pathlib.Path,
        command: Any,
    ) -> None:
        """An invalid patch file leads to exit code 2 and names the line."""
        path = tmp_path / 'bad.toml'
        path.write_text('a = = 1')
        code, _, err = command('config', 'patch', '--base', '1', str(path))
        assert code == 2
        assert 'line 1' in err

    def test_completion(self, command: Any) -> None:
        """The completion script contains the commands."""
        code, out, _ = command('completion', 'bash')
        assert code == 0
        assert 'explain' in out


class TestPages:
    """Commands that print one page of the operator API."""

    @pytest.mark.parametrize(
        ('line', 'path', 'payload', 'shown'),
        [
            ('front list', '/v1/fronts', _FRONTS.payload, 'raft-search'),
            ('config show', '/v1/config', {'version': 4}, '"version": 4'),
            (
                'config history',
                '/v1/config/history',
                {'version': 4, 'patches': [patch_record(4)]},
                '1970-01-01 00:00:00',
            ),
            (
                'members',
                '/v1/members',
                {'members': [{'name': 'vm-3', 'state': 'alive'}]},
                'vm-3',
            ),
            (
                'explain r/1',
                '/v1/explain/r%2F1',
                {
                    'request_id': 'r/1',
                    'events': [{'at_ms': 3, 'event': 'hedge', 'shard': 's0'}],
                },
                'shard=s0',
            ),
        ],
    )
    def test_prints_tables_and_json(
        self,
        line: str,
        path: str,
        payload: Any,
        shown: str,
        command: Any,
    ) -> None:
        """The default output is text; `--json` prints the unchanged page."""
        with scripted_daemon({path: [Answer(payload=payload)]}) as daemon:
            arguments = (*line.split(), '--operator', daemon.address)
            code, out, _ = command(*arguments)
            assert code == 0
            assert shown in out
            _, out, _ = command(*arguments, '--json')
        assert json.loads(out) == payload

    def test_one_front(self, command: Any) -> None:
        """Shards, home daemons and servers are shown; JSON has one front."""
        arguments = ('front', 'show', 'raft-search', '--operator')
        with scripted_daemon({'/v1/fronts': [_FRONTS]}) as daemon:
            _, out, _ = command(*arguments, daemon.address)
            assert out.splitlines()[-1].split()[:3] == ['s0', 'vm-2', 'raft-a']
            _, out, _ = command(*arguments, daemon.address, '--json')
        assert json.loads(out) == _FRONTS.payload['fronts'][0]

    def test_unknown_front(self, command: Any) -> None:
        """An unknown front leads to exit code 3 and a list of the fronts."""
        with scripted_daemon({'/v1/fronts': [_FRONTS]}) as daemon:
            code, _, err = command(
                'front', 'show', 'x', '--operator', daemon.address
            )
        assert code == 3
        assert 'raft-search' in err

    def test_status_with_outdated_daemon(self, command: Any) -> None:
        """A daemon with an older version leads to exit code 5."""
        daemons = [
            {'name': 'vm-1', 'config_version': 4},
            {'name': 'vm-2', 'config_version': 3},
        ]
        page = Answer(payload={'version': 4, 'daemons': daemons})
        with scripted_daemon({'/v1/config/status': [page]}) as daemon:
            code, out, _ = command(
                'config', 'status', '--operator', daemon.address
            )
        assert code == 5
        assert out.endswith('not known to be active on: vm-2\n')

    def test_explains_from_another_daemon(self, command: Any) -> None:
        """A request that the given daemon does not know is found on a peer."""
        path = '/v1/explain/r1'
        explanation = Answer(payload={'request_id': 'r1', 'daemon': 'vm-2'})
        with scripted_daemon({path: [explanation]}) as other:
            members = [{'operator': _NOWHERE}, {'operator': other.address}]
            page = Answer(payload={'members': members})
            with scripted_daemon({'/v1/members': [page]}) as daemon:
                code, out, _ = command(
                    'explain', 'r1', '--operator', daemon.address
                )
        assert code == 0
        assert 'daemon: vm-2' in out

    def test_unreachable(self, command: Any) -> None:
        """An unreachable daemon leads to exit code 3: nothing ran."""
        code, _, err = command('members', '--operator', _NOWHERE)
        assert code == 3
        assert 'cannot connect' in err

    def test_diff(self, patch_file: str, command: Any) -> None:
        """A diff shows the path, the active value and the patched value."""
        with scripted_daemon({'/v1/config': [document(4, 30)]}) as daemon:
            code, out, _ = command(
                'config', 'diff', patch_file, '--operator', daemon.address
            )
            assert daemon.posted == []
        assert code == 0
        assert out.splitlines()[-1].split() == [
            'fronts.raft-search.hedge.delay_ms',
            '30',
            '20',
        ]


class TestDrain:
    """The command `drain`."""

    def test_sends_one_request(self, command: Any) -> None:
        """One drain request is sent, and the reply is printed."""
        payload = {'phase': 'announcing', 'running': 2}
        script = {'/v1/drain': [Answer(payload=payload)]}
        with scripted_daemon(script) as daemon:
            code, out, _ = command('drain', '--operator', daemon.address)
            assert (code, out) == (0, 'announcing, 2 requests running\n')
            assert daemon.posted == [('/v1/drain', {})]
