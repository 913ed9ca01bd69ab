"""What a command prints and how it ends."""

import json
import sys
from typing import Any

import attrs

from fennelfork_cli._exit_code import ExitCode, exit_code_of
from fennelfork_cli._http import CallFailure


@attrs.frozen(kw_only=True)
class Report:
    """The outcome of one command.

    Attributes:
        tree: what `--json` prints.
        text: what a person reads.
        code: how the command ends.
    """

    tree: Any
    text: str
    code: ExitCode = ExitCode.DONE


def failure_report(failure: CallFailure) -> Report:
    """Report a call that failed, with its verdict."""
    lines = [f'{failure.code}: {failure.detail}']
    for problem in failure.problem.get('problems', ()):
        lines.append(
            f'  {problem.get("path")}: {problem.get("detail")}; '
            f'allowed: {problem.get("allowed")}',
        )
    lines.append(f'verdict: {failure.verdict.value}')
    wait_ms = failure.problem.get('retry_after_ms')
    if wait_ms is not None:
        lines.append(f'ask again after {wait_ms} ms')
    return Report(
        tree=failure.problem
        | {
            'code': failure.code,
            'detail': failure.detail,
            'verdict': failure.verdict.value,
        },
        text='\n'.join(lines),
        code=exit_code_of(failure.verdict),
    )


def show(report: Report, as_json: bool) -> int:
    """Print a report; failures in words go to standard error.

    Returns:
        The exit code.
    """
    if as_json:
        sys.stdout.write(f'{json.dumps(report.tree, indent=2)}\n')
    elif report.code in {ExitCode.DONE, ExitCode.PARTIAL}:
        sys.stdout.write(f'{report.text}\n')
    else:
        sys.stderr.write(f'{report.text}\n')
    return int(report.code)
