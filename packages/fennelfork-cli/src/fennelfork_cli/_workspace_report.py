"""Report on the workspaces and their requests on several daemons."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import JsonObject, RequestFailure
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_COLUMNS: Final = (
    'name',
    'rate_per_s',
    'burst',
    'priority',
    'home_regions',
    'keys',
    'answered',
    'refused',
    'refusals_by_reason',
)
_FINGERPRINT_COLUMN: Final = 'key_fingerprints'
# Fields of the page that count requests.
_ANSWERED: Final = 'answered'
_REFUSED: Final = 'refused'

_Pages = Mapping[str, JsonObject]


def build_workspaces_report(
    pages: _Pages,
    missing: Mapping[str, RequestFailure],
    *,
    with_keys: bool,
) -> Report:
    """Build the report on the workspaces of the newest version.

    Args:
        pages: page of each daemon by its name, at least one.
        missing: reasons by the address of the daemons that did not answer.
        with_keys: whether the text contains the fingerprints of keys.
    """
    payload = _sum_pages(pages) | {
        'missing': {
            address: failure.detail for address, failure in missing.items()
        }
    }
    return Report(
        payload=payload,
        text='\n'.join(_text_lines(payload, with_keys)),
        code=ExitCode.PARTIAL if missing else ExitCode.DONE,
    )


def _sum_pages(pages: _Pages) -> JsonObject:
    newest = max(pages.values(), key=lambda page: page['version'])
    rows = {
        daemon: {row['name']: row for row in page['workspaces']}
        for daemon, page in pages.items()
    }
    return {
        'version': newest['version'],
        'versions': {daemon: page['version'] for daemon, page in pages.items()},
        'workspaces': [
            row | _sum_rows(rows, row['name'])
            for row in sorted(newest['workspaces'], key=lambda row: row['name'])
        ],
        'without_workspace': _sum_requests(
            page['without_workspace'] for page in pages.values()
        ),
    }


def _sum_rows(
    rows: Mapping[str, Mapping[str, JsonObject]], name: str
) -> JsonObject:
    """Return the requests of one workspace, in sum and by daemon."""
    by_daemon = {
        daemon: {
            _ANSWERED: by_name[name][_ANSWERED],
            _REFUSED: by_name[name][_REFUSED],
        }
        for daemon, by_name in rows.items()
        if name in by_name
    }
    return _sum_requests(by_daemon.values()) | {'by_daemon': by_daemon}


def _sum_requests(counts: Iterable[JsonObject]) -> JsonObject:
    answered = 0
    refused: Counter[str] = Counter()
    for count in counts:
        answered += count[_ANSWERED]
        refused.update(count[_REFUSED])
    return {_ANSWERED: answered, _REFUSED: dict(sorted(refused.items()))}


def _text_lines(payload: JsonObject, with_keys: bool) -> Iterator[str]:
    columns = (*_COLUMNS, _FINGERPRINT_COLUMN) if with_keys else _COLUMNS
    yield text_table(columns, map(_text_row, payload['workspaces']))
    without = payload['without_workspace']
    yield (
        f'requests without a workspace: {without[_ANSWERED]} answered, '
        f'refused: {_format_reasons(without[_REFUSED]) or "none"}'
    )
    outdated = [
        f'{daemon} ({version})'
        for daemon, version in payload['versions'].items()
        if version != payload['version']
    ]
    if outdated:
        yield (
            f'version {payload["version"]} is not active on: '
            f'{", ".join(outdated)}'
        )
    for address, detail in payload['missing'].items():
        yield f'not included: {address}: {detail}'


def _text_row(row: JsonObject) -> dict[str, Any]:
    refused = row[_REFUSED]
    return row | {
        _REFUSED: sum(refused.values()),
        'refusals_by_reason': _format_reasons(refused) or None,
    }


def _format_reasons(refused: Mapping[str, int]) -> str:
    return ', '.join(f'{code} {count}' for code, count in refused.items())
