"""Layout of configuration pages for people."""

import datetime as dt
import json
from collections.abc import Iterable, Sequence
from typing import Any, Final

from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import Tree
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_MS_PER_SECOND: Final = 1000
_SHOWN_PATHS: Final = 3
_HISTORY: Final = ('version', 'author', 'at', 'id', 'paths')
_CHANGES: Final = ('path', 'in_force', 'patched')
_STATUS: Final = (
    'name',
    'data_centre',
    'state',
    'config_version',
    'age_ms',
    'confirmed_age_ms',
    'anomaly',
    'failure',
)


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


def changes_text(changes: Iterable[Tree]) -> str:
    """Lay out what a patch changes, or say that it changes nothing.

    Args:
        changes: each with `path`, `before` and `after`.
    """
    rows = [
        {
            'path': change['path'],
            'in_force': _value_text(change['before']),
            'patched': _value_text(change['after']),
        }
        for change in changes
    ]
    if not rows:
        return 'the patch changes nothing'
    return text_table(_CHANGES, rows)


def conflict_text(problem: Tree) -> str:
    """Say who won a race and what is left of one's own patch."""
    rows = [_patch_row(patch) for patch in problem.get('since', ())]
    return '\n'.join(
        (
            f'conflict: version {problem.get("version")} is in force; '
            'nothing was changed',
            'accepted since your base:',
            text_table(_HISTORY, rows),
            'your patch against the version in force:',
            changes_text(problem.get('changes', ())),
        ),
    )


def _patch_row(patch: Tree) -> Tree:
    at = dt.datetime.fromtimestamp(
        patch.get('at_ms', 0) / _MS_PER_SECOND,
        tz=dt.UTC,
    )
    return patch | {
        'at': at.strftime('%Y-%m-%d %H:%M:%S'),
        'paths': _some_paths(patch.get('paths', ())),
    }


def _some_paths(paths: Sequence[str]) -> list[str]:
    left = len(paths) - _SHOWN_PATHS
    shown = list(paths[:_SHOWN_PATHS])
    return [*shown, f'and {left} more'] if left > 0 else shown


def _value_text(value: Any) -> str:
    return '-' if value is None else json.dumps(value)
