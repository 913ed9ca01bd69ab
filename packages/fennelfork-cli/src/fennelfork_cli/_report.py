"""Output and exit code of a command."""

import json
import sys
from typing import Any

import attrs

from fennelfork_cli._exit_code import ExitCode, exit_code_for
from fennelfork_cli._http import RequestFailure


@attrs.frozen(kw_only=True)
class Report:
    """Output and exit code of a command.

    Attributes:
        payload: JSON value that `--json` prints.
        text: text that is printed without `--json`.
        code: exit code of the command.
    """

    payload: Any
    text: str
    code: ExitCode = ExitCode.DONE


def build_failure_report(failure: RequestFailure) -> Report:
    """Build the report on a failed request, with the verdict."""
    lines = [f'{failure.code}: {failure.detail}']
    for problem in failure.problem.get('problems', ()):
        lines.append(
            f'  {problem.get("path")}: {problem.get("detail")}; '
            f'allowed: {problem.get("allowed")}',
        )
    lines.append(f'verdict: {failure.verdict.value}')
    wait_ms = failure.problem.get('retry_after_ms')
    if wait_ms is not None:
        lines.append(f'retry after {wait_ms} ms')
    return Report(
        payload=failure.problem
        | {
            'code': failure.code,
            'detail': failure.detail,
            'verdict': failure.verdict.value,
        },
        text='\n'.join(lines),
        code=exit_code_for(failure.verdict),
    )


def print_report(report: Report, as_json: bool) -> int:
    """Print a report; the text of a failure goes to standard error.

    Returns:
        Exit code of the command.
    """
    if as_json:
        sys.stdout.write(f'{json.dumps(report.payload, indent=2)}\n')
    elif report.code in {ExitCode.DONE, ExitCode.PARTIAL}:
        sys.stdout.write(f'{report.text}\n')
    else:
        sys.stderr.write(f'{report.text}\n')
    return int(report.code)
