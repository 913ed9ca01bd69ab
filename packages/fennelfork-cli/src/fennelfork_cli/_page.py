"""Pages of the operator face, read and printed."""

import functools
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork import Verdict
from fennelfork_cli._http import Call, CallFailure, Tree, send
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._report import Report, failure_report, show

_CALLS_AT_ONCE: Final = 16
_NOWHERE: Final = CallFailure(
    verdict=Verdict.NOT_RUN,
    detail='no daemon that could be reached has it',
)


def fetch(path: str, options: OperatorOptions) -> Result[Tree, CallFailure]:
    """Read a page of the operator face."""
    return send(
        Call(
            address=options.operator,
            path=path,
            timeout_ms=options.timeout_ms,
        ),
    )


def fetch_elsewhere(
    path: str,
    options: OperatorOptions,
) -> Result[Tree, CallFailure]:
    """Read a page that only one daemon has, from whichever it is.

    Args:
        path: of the operator face.
        options: names the daemon that knows the others.

    Returns:
        The page of the first daemon that has it.
    """
    members = fetch('/v1/members', options).value_or({'members': ()})
    others = [
        attrs.evolve(options, operator=member['operator'])
        for member in members['members']
        if member['operator'] != options.operator
    ]
    read = functools.partial(fetch, path)
    with ThreadPoolExecutor(_CALLS_AT_ONCE) as pool:
        outcomes = pool.map(read, others)
    found = (each for each in outcomes if isinstance(each, Success))
    return next(found, Failure(_NOWHERE))


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
