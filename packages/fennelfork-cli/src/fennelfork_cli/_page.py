"""Reading and printing of pages of the operator API."""

import functools
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import attrs
from returns.result import Failure, Result, Success

from fennelfork import Verdict
from fennelfork_cli._http import (
    ApiRequest,
    JsonObject,
    RequestFailure,
    send_request,
)
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._report import Report, build_failure_report, print_report

_MAX_PARALLEL_REQUESTS: Final = 16
_NOT_FOUND: Final = RequestFailure(
    verdict=Verdict.NOT_RUN,
    detail='no reachable daemon has the page',
)


def fetch_page(
    path: str, options: OperatorOptions
) -> Result[JsonObject, RequestFailure]:
    """Read a page of the operator API."""
    return send_request(
        ApiRequest(
            address=options.operator,
            path=path,
            timeout_ms=options.timeout_ms,
        ),
    )


def fetch_page_from_members(
    path: str,
    options: OperatorOptions,
) -> Result[JsonObject, RequestFailure]:
    """Read a page from the first other member that has the page.

    Args:
        path: path of the operator API.
        options: address of the daemon that lists the members.

    Returns:
        Page of the first member, in the order of the list, that has the page.
    """
    members = fetch_page('/v1/members', options).value_or({'members': ()})
    others = [
        attrs.evolve(options, operator=member['operator'])
        for member in members['members']
        if member['operator'] != options.operator
    ]
    read = functools.partial(fetch_page, path)
    with ThreadPoolExecutor(_MAX_PARALLEL_REQUESTS) as pool:
        outcomes = pool.map(read, others)
    successes = (each for each in outcomes if isinstance(each, Success))
    return next(successes, Failure(_NOT_FOUND))


def fetch_pages(
    path: str, addresses: Iterable[str], options: OperatorOptions
) -> dict[str, Result[JsonObject, RequestFailure]]:
    """Read a page from several daemons at once.

    Args:
        path: path of the operator API.
        addresses: operator addresses of the daemons, without repetitions.
        options: timeout of each request.

    Returns:
        Page or failure by address, in the order of the addresses.
    """
    listed = tuple(addresses)
    read = functools.partial(fetch_page, path)
    daemons = [attrs.evolve(options, operator=address) for address in listed]
    with ThreadPoolExecutor(_MAX_PARALLEL_REQUESTS) as pool:
        return dict(zip(listed, pool.map(read, daemons), strict=True))


def print_page(
    path: str,
    options: OperatorOptions,
    make_report: Callable[[JsonObject], Report],
) -> int:
    """Read a page of the operator API and print a report.

    Args:
        path: path of the operator API.
        options: address of the daemon, timeout and output format.
        make_report: function that builds the report from the page.

    Returns:
        Exit code of the command.
    """
    return print_outcome(
        fetch_page(path, options).map(make_report), options.json
    )


def print_outcome(
    outcome: Result[Report, RequestFailure], as_json: bool
) -> int:
    """Print a report or a failure, and return the exit code."""
    report = outcome.lash(
        lambda failure: Success(build_failure_report(failure)),
    ).unwrap()
    return print_report(report, as_json)
