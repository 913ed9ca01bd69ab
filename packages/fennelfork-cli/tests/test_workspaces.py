"""The command `fennelfork workspaces`.

Guards against sums that miss a daemon without saying so.
"""

import io
import json
from typing import Any

import pytest
from cli_builders import Answer, problem, scripted_daemon

_NOWHERE = '127.0.0.1:1'


def _row(name: str, answered: int, **refused: int) -> dict[str, Any]:
    return {
        'name': name,
        'rate_per_s': 13,
        'burst': 7,
        'priority': None,
        'home_regions': ['delta'],
        'keys': 1,
        'key_fingerprints': ['48cd96de'],
        'answered': answered,
        'refused': refused,
    }


def _page(name: str, version: int, *rows: Any) -> dict[str, list[Answer]]:
    payload = {
        'daemon': name,
        'version': version,
        'without_workspace': {'answered': 1, 'refused': {'unknown_key': 4}},
        'workspaces': rows,
    }
    return {'/workspaces': [Answer(payload=payload)]}


_FIRST = _page('vm-1', 7, _row('lab', 5, quota=2), _row('idle', 0))
_SECOND = _page('vm-2', 7, _row('lab', 3, quota=1, shed=1), _row('idle', 0))


class TestWorkspaces:
    """Sums over daemons."""

    def test_table(self, command: Any) -> None:
        """Each workspace has one row with the requests of all daemons."""
        with scripted_daemon(_FIRST) as one, scripted_daemon(_SECOND) as two:
            code, out, _ = command('workspaces', one.address, two.address)
        lines = [line.split() for line in out.splitlines()]
        assert code == 0
        assert lines[1][0] == 'idle'
        assert lines[2] == 'lab 13 7 - delta 1 8 4 quota 3, shed 1'.split()
        assert lines[3][-2:] == ['unknown_key', '8']
        assert '48cd96de' not in out

    def test_json(self, command: Any) -> None:
        """The JSON output names each daemon and its part."""
        with scripted_daemon(_FIRST) as one, scripted_daemon(_SECOND) as two:
            options = (one.address, two.address, '--json')
            page = json.loads(command('workspaces', *options)[1])
        lab = page['workspaces'][1]
        assert (lab['answered'], lab['refused']) == (8, {'quota': 3, 'shed': 1})
        assert lab['key_fingerprints'] == ['48cd96de']
        assert lab['by_daemon'] == {
            'vm-1': {'answered': 5, 'refused': {'quota': 2}},
            'vm-2': {'answered': 3, 'refused': {'quota': 1, 'shed': 1}},
        }
        assert page['versions'] == {'vm-1': 7, 'vm-2': 7}
        assert page['missing'] == {}

    def test_fingerprints(self, command: Any) -> None:
        """The fingerprints of keys are shown when asked for."""
        with scripted_daemon(_FIRST) as one:
            out = command('workspaces', one.address, '--keys')[1]
        assert '48cd96de' in out

    def test_missing_daemon(self, command: Any) -> None:
        """The daemons that did not answer are named; the result is partial."""
        broken = {'/workspaces': [problem(503, detail='busy')]}
        with scripted_daemon(_FIRST) as one, scripted_daemon(broken) as two:
            addresses = (one.address, _NOWHERE, two.address)
            code, out, _ = command('workspaces', *addresses)
        assert code == 5
        assert f'{_NOWHERE}: no response from {_NOWHERE}: cannot' in out
        assert f'{two.address}: busy' in out
        assert 'lab' in out

    def test_no_daemon(self, command: Any) -> None:
        """If no daemon answered, the command fails."""
        code, _, err = command('workspaces', '--operator', _NOWHERE)
        assert code == 3
        assert _NOWHERE in err

    def test_versions(self, command: Any) -> None:
        """Limits are those of the newest version, and older ones are named."""
        rows = [_row('lab', 1) | {'rate_per_s': 99}]
        newer = _page('vm-2', 8, *rows)
        with (
            scripted_daemon(newer) as one,
            scripted_daemon(_FIRST) as two,
        ):
            code, out, _ = command('workspaces', one.address, two.address)
        assert code == 0
        assert 'lab' in out
        assert '99' in out
        assert 'idle' not in out
        assert 'version 8 is not active on: vm-1 (7)' in out

    @pytest.mark.parametrize('payload', [{}, {'workspaces': 7}])
    def test_other_service(self, payload: Any, command: Any) -> None:
        """An address that serves another page counts as not answered."""
        script = {'/workspaces': [Answer(payload=payload)]}
        with scripted_daemon(script) as one:
            code, _, err = command('workspaces', one.address)
        assert code == 3
        assert one.address in err


class TestKeyFingerprint:
    """The command `fennelfork key-fingerprint`."""

    @pytest.mark.parametrize(
        ('typed', 'expected'),
        [
            ('hz6prvnzqjynjcfv8nmp\n', (0, '48cd96de\n')),
            ('  hz6prvnzqjynjcfv8nmp', (0, '48cd96de\n')),
            ('\n', (2, '')),
        ],
    )
    def test_from_input(
        self,
        typed: str,
        expected: tuple[int, str],
        command: Any,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """The key of the first line has the fingerprint that daemons show."""
        monkeypatch.setattr('sys.stdin', io.StringIO(typed))
        assert command('key-fingerprint')[:2] == expected
