"""Layout of answers to callers for people."""

import json
from typing import Final

from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import Tree
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_ENTRIES: Final = ('address', 'daemon', 'data_centre')
_MISSING: Final = ('lo', 'hi', 'reason')
_SHOWN_RECORDS: Final = 20


def entries_report(tree: Tree) -> Report:
    """Lay out the addresses that a caller should use."""
    return Report(
        tree=tree,
        text=f'{text_table(_ENTRIES, tree["entries"])}\n'
        f'to be kept for {tree["ttl_ms"]} ms, ticket {tree.get("ticket")}',
    )


def query_report(tree: Tree) -> Report:
    """Lay out an answer; a partial one is said to be partial and exits 5."""
    coverage = tree['coverage']
    lines = [_coverage_line(coverage)]
    if coverage['missing']:
        lines.append(text_table(_MISSING, coverage['missing']))
    lines.extend(_record_lines(tree['records']))
    lines.append(_work_line(tree))
    return Report(
        tree=tree,
        text='\n'.join(lines),
        code=ExitCode.DONE if coverage['complete'] else ExitCode.PARTIAL,
    )


def execute_report(tree: Tree) -> Report:
    """Lay out the outcome of a non-idempotent request."""
    outcome = json.dumps(tree['outcome'])
    return Report(
        tree=tree,
        text=f'ran once: key {tree["key"]}, outcome {outcome}, '
        f'{tree["took_ms"]} ms, request {tree["request_id"]}',
    )


def _coverage_line(coverage: Tree) -> str:
    if coverage['complete']:
        return 'complete'
    return f'PARTIAL: {coverage["fraction"]:.2%} of the keys; missing:'


def _record_lines(records: list[Tree]) -> list[str]:
    lines = [json.dumps(record) for record in records[:_SHOWN_RECORDS]]
    left = len(records) - len(lines)
    if left:
        lines.append(f'... and {left} more; --json prints all')
    return lines


def _work_line(tree: Tree) -> str:
    work = ', '.join(
        f'{count} {name.replace("_", "-")}'
        for name, count in tree['work'].items()
    )
    return (
        f'{len(tree["records"])} records, snapshot {tree["snapshot"]}, '
        f'configuration {tree["config_version"]}, {tree["took_ms"]} ms, '
        f'{work}, request {tree["request_id"]}'
    )
