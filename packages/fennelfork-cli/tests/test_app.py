"""Tests of the command line against a scripted daemon."""

import json
import pathlib
from collections.abc import Callable
from typing import Any

import pytest
from cli_builders import (
    CLOSE_CONNECTION,
    Answer,
    document,
    entries_answer,
    patch_record,
    problem,
    query_answer,
    scripted_daemon,
)

from fennelfork_cli import _patch
from fennelfork_cli.__main__ import run

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


@pytest.fixture(autouse=True)
def _no_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_patch, '_RETRY_DELAY_S', 0)


@pytest.fixture
def patch_file(tmp_path: pathlib.Path) -> str:
    """Write a patch file that changes one value."""
    path = tmp_path / 'hedge.toml'
    path.write_text('[fronts.raft-search.hedge]\ndelay_ms = 20\n')
    return str(path)


@pytest.fixture
def command(capsys: pytest.CaptureFixture[str]) -> Callable[..., Any]:
    """Return a function that runs a command.

    The function returns the exit code, standard output and standard error.
    """
    return lambda *tokens: (run(tokens), *capsys.readouterr())


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


def _send_patch_command(
    command: Any,
    script: dict[str, list[Any]],
    *extra_arguments: str,
) -> Any:
    with scripted_daemon(script) as daemon:
        outcome = command(
            'config',
            'patch',
            '--base=4',
            '--patch-id=p9',
            f'--operator={daemon.address}',
            *extra_arguments,
        )
        return outcome, [body for _, body in daemon.posted]


class TestPatch:
    """The command `config patch`."""

    def test_accepted(self, patch_file: str, command: Any) -> None:
        """The new version is printed; removals are sent as null."""
        outcome, posted = _send_patch_command(
            command,
            {'/v1/config/patch': [Answer(payload={'version': 5})]},
            patch_file,
            '--remove=fronts.old',
        )
        assert outcome[0] == 0
        assert 'version 5 accepted, patch p9' in outcome[1]
        assert posted[0]['base'] == 4
        assert posted[0]['patch']['fronts'] == {
            'raft-search': {'hedge': {'delay_ms': 20}},
            'old': None,
        }

    def test_lost_reply(self, patch_file: str, command: Any) -> None:
        """After a lost reply the patch is retried with the same patch id."""
        outcome, posted = _send_patch_command(
            command,
            {
                '/v1/config/patch': [
                    CLOSE_CONNECTION,
                    CLOSE_CONNECTION,
                    Answer(payload={'version': 5}),
                ]
            },
            patch_file,
        )
        assert outcome[0] == 0
        assert [body['patch_id'] for body in posted] == ['p9', 'p9', 'p9']
        assert posted[0] == posted[2]

    def test_version_conflict(self, patch_file: str, command: Any) -> None:
        """A conflict shows the active version, its author and a diff."""
        outcome, posted = _send_patch_command(
            command,
            {
                '/v1/config/patch': [
                    problem(
                        409,
                        code='conflict',
                        version=6,
                        since=[patch_record(6)],
                        changes=[{'path': 'a.b', 'before': 25, 'after': 20}],
                    ),
                ],
            },
            patch_file,
        )
        assert outcome[0] == 3
        assert len(posted) == 1
        lines = outcome[2].splitlines()
        assert 'version 6 is active; nothing was changed' in lines[0]
        assert lines[3].split()[:2] == ['6', 'anna']
        assert lines[-1].split() == ['a.b', '25', '20']

    def test_outcome_unknown(self, patch_file: str, command: Any) -> None:
        """If every reply is lost, the retry options are printed, exit 4."""
        outcome, _ = _send_patch_command(
            command,
            {'/v1/config/patch': [CLOSE_CONNECTION]},
            patch_file,
        )
        assert outcome[0] == 4
        assert '--base 4 --patch-id p9' in outcome[2]

    def test_refusal_after_a_lost_reply(
        self,
        patch_file: str,
        command: Any,
    ) -> None:
        """The verdict "not run" of a retry does not cover a lost attempt."""
        refusal = problem(503, code='platform')
        outcome, _ = _send_patch_command(
            command,
            {'/v1/config/patch': [CLOSE_CONNECTION, refusal]},
            patch_file,
        )
        assert outcome[0] == 4

    def test_refused(self, patch_file: str, command: Any) -> None:
        """An invalid patch leads to exit code 3 and shows allowed values."""
        wrong = [{'path': 'fronts.a', 'detail': 'unknown', 'allowed': 'b'}]
        outcome, posted = _send_patch_command(
            command,
            {
                '/v1/config/patch': [
                    problem(400, code='bad_request', problems=wrong),
                ],
            },
            patch_file,
        )
        assert outcome[0] == 3
        assert 'fronts.a: unknown; allowed: b' in outcome[2]
        assert len(posted) == 1


class TestCaller:
    """Commands that use the caller API."""

    @pytest.mark.parametrize(('complete', 'code'), [(True, 0), (False, 5)])
    def test_query(self, complete: bool, code: int, command: Any) -> None:
        """A partial answer is marked as partial and leads to exit code 5."""
        path = '/v1/fronts/f/query'
        script: dict[str, list[Any]] = {
            path: [query_answer(complete=complete)],
        }
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [entries_answer(daemon.address)]
            actual_code, out, _ = command(
                'query',
                'f',
                '--key=1',
                '--floor=0.4',
                '--caller',
                daemon.address,
            )
            body = daemon.posted[0][1]
        assert actual_code == code
        assert ('PARTIAL: 50.00%' in out) is not complete
        assert body['query'] == {'keys': [1]}
        assert body['coverage'] == {'mode': 'partial', 'floor': 0.4}

    def test_next_entry(self, command: Any) -> None:
        """An unreachable entry address is skipped."""
        path = '/v1/fronts/f/query'
        script: dict[str, list[Any]] = {path: [query_answer(complete=True)]}
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [entries_answer(_NOWHERE, daemon.address)]
            code, _, _ = command('query', 'f', '--caller', daemon.address)
        assert code == 0

    def test_execute_with_a_lost_reply(self, command: Any) -> None:
        """The request is sent once; the retry options are printed, exit 4."""
        path = '/v1/fronts/f/execute'
        script: dict[str, list[Any]] = {path: [CLOSE_CONNECTION]}
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [
                entries_answer(daemon.address) for _ in range(2)
            ]
            code, _, err = command(
                'execute',
                'f',
                '--key=1',
                '--action=issue',
                '--request-id=r9',
                '--caller',
                daemon.address,
            )
            assert len(daemon.posted) == 1
        assert code == 4
        assert '--request-id r9@t1 --ticket t1' in err

    def test_execute_refused(self, command: Any) -> None:
        """The verdict "not run" leads to exit code 3 and the retry delay."""
        path = '/v1/fronts/f/execute'
        refusal = problem(503, code='shed', retry_after_ms=70)
        script: dict[str, list[Any]] = {path: [refusal]}
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [entries_answer(daemon.address)]
            code, _, err = command(
                'execute',
                'f',
                '--key=1',
                '--action=a',
                '--caller',
                daemon.address,
            )
        assert code == 3
        assert 'retry after 70 ms' in err
