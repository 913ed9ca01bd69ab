"""Workspaces, their keys and the checks of a configuration.

Guards against a request that gets the rights of another workspace, against a
key in a message, and against an invalid configuration that is applied.
"""

from typing import Any

import pytest
from core_builders_workspaces import keyed_table, workspace
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.workspaces import key_fingerprint, workspace_table

_KEY = 'hz6prvnzqjynjcfv8nmp'
_KEYS = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)


class TestLookup:
    """Workspace of a key."""

    @given(keys=st.sets(_KEYS, min_size=1), asked=_KEYS)
    def test_any_keys(self, keys: set[str], asked: str) -> None:
        """A key finds the workspace that holds it and no other one."""
        entries = [
            (workspace(f'w{number}'), (key,)) for number, key in enumerate(keys)
        ]
        table = workspace_table(entries)
        for holder, held in entries:
            assert table.find(held[0]) == holder
        assert (table.find(asked) is not None) == (asked in keys)

    @pytest.mark.parametrize('key', ['', 'x', _KEY.upper(), f'{_KEY}é', 'é'])
    def test_unknown(self, key: str) -> None:
        """A key that differs in any way is unknown."""
        assert keyed_table(lab=(_KEY, 'other'), idle=()).find(key) is None

    def test_repeated_in_one_workspace(self) -> None:
        """The same key twice in one workspace is one key."""
        found = keyed_table(lab=(_KEY, _KEY)).find(_KEY)
        assert found == workspace('lab')

    def test_key_is_not_shown(self) -> None:
        """Neither the key nor bytes of it are in a representation."""
        table = keyed_table(lab=(_KEY,))
        assert _KEY not in f'{table!r} {table._keys!r} {table._keys._entries!r}'

    def test_fingerprint(self) -> None:
        """The fingerprint is short and equal in all processes."""
        assert key_fingerprint(_KEY) == '48cd96de'

    def test_all_fingerprints(self) -> None:
        """Each distinct key of each workspace has one, and no key is kept."""
        table = keyed_table(lab=('b', _KEY, 'b'), idle=(), solo=('c',))
        expected = {
            'lab': sorted((key_fingerprint(_KEY), key_fingerprint('b'))),
            'idle': [],
            'solo': [key_fingerprint('c')],
        }
        found = {
            workspace.name: list(fingerprints)
            for workspace, fingerprints in table.with_key_fingerprints()
        }
        assert found == expected


class TestChecks:
    """Configurations that are refused."""

    @pytest.mark.parametrize(
        ('changes', 'message'),
        [
            ({'rate_per_s': -1}, 'rate of workspace lab: -1 is not'),
            ({'rate_per_s': '7'}, "rate of workspace lab: '7' is not"),
            ({'rate_per_s': float('nan')}, 'rate of workspace lab: nan is not'),
            ({'burst': 10**400}, 'burst of workspace lab: 1000'),
            ({'burst': True}, 'burst of workspace lab: True is not'),
            ({'burst': [7]}, r'burst of workspace lab: \[7\] is not'),
            ({'priority': 1.5}, 'priority of workspace lab: 1.5 is not'),
            ({'priority': False}, 'priority of workspace lab: False is not'),
            ({'name': ''}, "name of a workspace: '' is not"),
            ({'name': None}, 'name of a workspace: None is not'),
            ({'name': 'a\r\nX-Evil: 1'}, r"name of a workspace: 'a\\r\\nX"),
            ({'name': '\ud800'}, 'name of a workspace'),
            ({'name': ' lab'}, "name of a workspace: ' lab' is not"),
            ({'name': 'x' * 257}, "name of a workspace: 'xxx"),
        ],
    )
    def test_values(self, changes: dict[str, Any], message: str) -> None:
        """The message names the workspace and an abbreviated value."""
        fields = {'name': 'lab'} | changes
        with pytest.raises(ValueError, match=message) as raised:
            workspace_table([(workspace(**fields), ())])
        assert len(str(raised.value)) < 200

    @pytest.mark.parametrize(
        'keys', [_KEY, {_KEY: 1}, (7,), ('',), (f'{_KEY} ',), (f'{_KEY}\n',)]
    )
    def test_keys(self, keys: Any) -> None:
        """The message about an invalid key does not contain the key."""
        with pytest.raises(ValueError, match='keys of workspace lab') as raised:
            keyed_table(lab=keys)
        assert _KEY not in str(raised.value)

    def test_shared_key(self) -> None:
        """Two workspaces with one key are named, the key is not."""
        with pytest.raises(ValueError, match='lab and farm') as raised:
            keyed_table(idle=(), lab=('a', _KEY), farm=(_KEY, _KEY))
        assert key_fingerprint(_KEY) in str(raised.value)
        assert _KEY not in str(raised.value)

    def test_repeated_name(self) -> None:
        """Names are unique."""
        with pytest.raises(ValueError, match='two workspaces have the name'):
            workspace_table([(workspace(), ('a',)), (workspace(), ('b',))])

    def test_bounds(self) -> None:
        """Values at the bounds are valid."""
        name = 'x' * 256
        table = workspace_table([(workspace(name, priority=-1), ())])
        assert list(table.by_name) == [name]
        assert len(table) == 1
