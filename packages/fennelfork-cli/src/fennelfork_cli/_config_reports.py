"""Reports on the configuration."""

import datetime as dt
import json
from collections.abc import Iterable, Sequence
from typing import Any, Final

from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import JsonObject
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_MS_PER_SECOND: Final = 1000
_MAX_SHOWN_PATHS: Final = 3
_HISTORY_COLUMNS: Final = ('version', 'author', 'at', 'id', 'paths')
_CHANGE_COLUMNS: Final = ('path', 'in_force', 'patched')
_STATUS_COLUMNS: Final = (
    'name',
    'data_centre',
    'state',
    'config_version',
    'age_ms',
    'confirmed_age_ms',
    'anomaly',
    'failure',
)


def build_history_report(payload: JsonObject) -> Report:
    """Report the patches of the configuration, newest first."""
    rows = [
        _format_history_row(patch) for patch in reversed(payload['patches'])
    ]
    return Report(
        payload=payload,
        text=f'active version {payload["version"]}\n{text_table(_HISTORY_COLUMNS, rows)}',
    )


def build_status_report(payload: JsonObject) -> Report:
    """Report the active configuration version of each daemon.

    The report is partial if a daemon has another version or is unreachable.
    """
    version = payload['version']
    outdated = [
        daemon['name']
        for daemon in payload['daemons']
        if daemon.get('config_version') != version
    ]
    summary = f'version {version} is active on every listed daemon'
    if outdated:
        summary = f'version {version} is not known to be active on: '
        summary += ', '.join(outdated)
    return Report(
        payload=payload,
        text=f'{text_table(_STATUS_COLUMNS, payload["daemons"])}\n{summary}',
        code=ExitCode.PARTIAL if outdated else ExitCode.DONE,
    )


def format_changes(changes: Iterable[JsonObject]) -> str:
    """Format the changes of a patch as a table.

    Args:
        changes: changes, each with `path`, `before` and `after`.
    """
    rows = [
        {
            'path': change['path'],
            'in_force': _format_value(change['before']),
            'patched': _format_value(change['after']),
        }
        for change in changes
    ]
    if not rows:
        return 'the patch changes nothing'
    return text_table(_CHANGE_COLUMNS, rows)


def format_conflict(problem: JsonObject) -> str:
    """Format a version conflict and the remaining changes of the patch."""
    rows = [_format_history_row(patch) for patch in problem.get('since', ())]
    return '\n'.join(
        (
            f'conflict: version {problem.get("version")} is active; '
            'nothing was changed',
            'patches accepted since the base version:',
            text_table(_HISTORY_COLUMNS, rows),
            'changes of your patch against the active version:',
            format_changes(problem.get('changes', ())),
        ),
    )


def _format_history_row(patch: JsonObject) -> JsonObject:
    at = dt.datetime.fromtimestamp(
        patch.get('at_ms', 0) / _MS_PER_SECOND,
        tz=dt.UTC,
    )
    return patch | {
        'at': at.strftime('%Y-%m-%d %H:%M:%S'),
        'paths': _shorten_paths(patch.get('paths', ())),
    }


def _shorten_paths(paths: Sequence[str]) -> list[str]:
    omitted_count = len(paths) - _MAX_SHOWN_PATHS
    shown = list(paths[:_MAX_SHOWN_PATHS])
    return [*shown, f'and {omitted_count} more'] if omitted_count > 0 else shown


def _format_value(value: Any) -> str:
    return '-' if value is None else json.dumps(value)
