"""Layout of configuration pages for people."""

import datetime as dt
import json
from collections.abc import Iterable
from typing import Any, Final

import attrs

from fennelfork_cli._call import Tree
from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._leaves import Difference
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_MS_PER_SECOND: Final = 1000
_HISTORY: Final = ('version', 'author', 'at', 'id', 'paths')
_STATUS: Final = ('name', 'state', 'config_version', 'age_ms')


def history_report(tree: Tree) -> Report:
    """Lay out who changed what, newest first."""
    rows = [_patch_row(patch) for patch in reversed(tree['patches'])]
    return Report(
        tree=tree,
        text=f'version in force {tree["version"]}\n{text_table(_HISTORY, rows)}',
    )


def status_report(tree: Tree) -> Report:
    """Lay out which daemon runs which version.

    A daemon that is behind or out of reach makes the report partial.
    """
    version = tree['version']
    behind = [
        daemon['name']
        for daemon in tree['daemons']
        if daemon.get('config_version') != version
    ]
    summary = f'version {version} is in force on every daemon listed'
    if behind:
        summary = f'version {version} is not known to be in force on: '
        summary += ', '.join(behind)
    return Report(
        tree=tree,
        text=f'{text_table(_STATUS, tree["daemons"])}\n{summary}',
        code=ExitCode.PARTIAL if behind else ExitCode.DONE,
    )


def differences_text(differences: Iterable[Difference]) -> str:
    """Lay out what a patch changes, or say that it changes nothing."""
    rows = [
        {
            'path': difference.path,
            'in_force': _value_text(difference.in_force),
            'patched': _value_text(difference.patched),
        }
        for difference in differences
    ]
    if not rows:
        return 'the patch changes nothing'
    return text_table(('path', 'in_force', 'patched'), rows)


def changes_since(history: Tree, base: int) -> list[Tree]:
    """Pick the patches that were accepted after version `base`."""
    return [patch for patch in history['patches'] if patch['version'] > base]


def conflict_text(
    version: Any,
    differences: Iterable[Difference],
    since: list[Tree],
) -> str:
    """Say who won a race and what is left of one's own patch."""
    rows = [_patch_row(patch) for patch in since]
    return '\n'.join(
        (
            f'conflict: version {version} is in force; nothing was changed',
            'accepted since your base:',
            text_table(_HISTORY, rows),
            'your patch against the version in force:',
            differences_text(differences),
        ),
    )


def difference_trees(differences: Iterable[Difference]) -> list[Tree]:
    """Give differences for JSON."""
    return [attrs.asdict(difference) for difference in differences]


def _patch_row(patch: Tree) -> Tree:
    at = dt.datetime.fromtimestamp(
        patch.get('at_ms', 0) / _MS_PER_SECOND,
        tz=dt.UTC,
    )
    return patch | {'at': at.strftime('%Y-%m-%d %H:%M:%S')}


def _value_text(value: Any) -> str:
    return '-' if value is None else json.dumps(value)
