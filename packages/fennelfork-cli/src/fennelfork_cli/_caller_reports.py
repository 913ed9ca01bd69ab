"""Reports on the answers of the caller API."""

import json
from typing import Final

from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import JsonObject
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_ENTRY_COLUMNS: Final = ('address', 'daemon', 'data_centre')
_MISSING_COLUMNS: Final = ('lo', 'hi', 'reason')
_MAX_SHOWN_RECORDS: Final = 20


def build_entries_report(payload: JsonObject) -> Report:
    """Report the entry addresses for callers."""
    return Report(
        payload=payload,
        text=f'{text_table(_ENTRY_COLUMNS, payload["entries"])}\n'
        f'valid for {payload["ttl_ms"]} ms, ticket {payload.get("ticket")}',
    )


def build_query_report(payload: JsonObject) -> Report:
    """Report the answer to a query; a partial answer has exit code 5."""
    coverage = payload['coverage']
    lines = [_format_coverage(coverage)]
    if coverage['missing']:
        lines.append(text_table(_MISSING_COLUMNS, coverage['missing']))
    lines.extend(_format_records(payload['records']))
    lines.append(_format_work(payload))
    return Report(
        payload=payload,
        text='\n'.join(lines),
        code=ExitCode.DONE if coverage['complete'] else ExitCode.PARTIAL,
    )


def build_execute_report(payload: JsonObject) -> Report:
    """Report the outcome of a non-idempotent request."""
    outcome = json.dumps(payload['outcome'])
    return Report(
        payload=payload,
        text=f'executed once: key {payload["key"]}, outcome {outcome}, '
        f'{payload["took_ms"]} ms, request {payload["request_id"]}',
    )


def _format_coverage(coverage: JsonObject) -> str:
    if coverage['complete']:
        return 'complete'
    return f'PARTIAL: {coverage["fraction"]:.2%} of the keys; missing ranges:'


def _format_records(records: list[JsonObject]) -> list[str]:
    lines = [json.dumps(record) for record in records[:_MAX_SHOWN_RECORDS]]
    omitted_count = len(records) - len(lines)
    if omitted_count:
        lines.append(f'... {omitted_count} more records; --json prints all')
    return lines


def _format_work(payload: JsonObject) -> str:
    work = ', '.join(
        f'{count} {name.replace("_", "-")}'
        for name, count in payload['work'].items()
    )
    return (
        f'{len(payload["records"])} records, snapshot {payload["snapshot"]}, '
        f'configuration {payload["config_version"]}, {payload["took_ms"]} ms, '
        f'{work}, request {payload["request_id"]}'
    )
