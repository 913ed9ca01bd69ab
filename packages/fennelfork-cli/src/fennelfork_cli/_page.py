"""Pages of the operator face, read and printed."""

from collections.abc import Callable

from returns.result import Result, Success

from fennelfork_cli._call import Call, CallFailure, Tree, send
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._report import Report, failure_report, show


def fetch(path: str, options: OperatorOptions) -> Result[Tree, CallFailure]:
    """Read a page of the operator face."""
    return send(
        Call(
            address=options.operator,
            path=path,
            timeout_ms=options.timeout_ms,
        ),
    )


def show_page(
    path: str,
    options: OperatorOptions,
    report_of: Callable[[Tree], Report],
) -> int:
    """Read a page and print it.

    Args:
        path: of the operator face.
        options: where that is, and how to print.
        report_of: lays out the page.

    Returns:
        The exit code.
    """
    return show_result(fetch(path, options).map(report_of), options.json)


def show_result(outcome: Result[Report, CallFailure], as_json: bool) -> int:
    """Print a report, or the failure that stands in its place."""
    report = outcome.lash(
        lambda failure: Success(failure_report(failure)),
    ).unwrap()
    return show(report, as_json)
