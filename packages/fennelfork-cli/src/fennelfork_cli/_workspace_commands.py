"""Commands for workspaces and their keys."""

import functools
import getpass
import sys
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from fennelfork import Verdict
from fennelfork.workspaces import key_fingerprint
from fennelfork_cli._exit_code import ExitCode
from fennelfork_cli._http import JsonObject, RequestFailure
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import fetch_pages, print_outcome
from fennelfork_cli._report import Report
from fennelfork_cli._workspace_report import build_workspaces_report

_DEFAULT_OPTIONS: Final = OperatorOptions()

_Outcome = Result[JsonObject, RequestFailure]


def workspaces(
    *daemons: str,
    keys: bool = False,
    options: OperatorOptions = _DEFAULT_OPTIONS,
) -> int:
    """Show the workspaces, and their requests on all given daemons together.

    The counts begin with the start of each daemon. Daemons that did not answer
    are named, and the exit code is 5.

    Example: fennelfork workspaces 10.1.0.4:8081 10.1.0.5:8081

    Args:
        daemons: operator addresses of the daemons, ip:port; by default the
            address of --operator.
        keys: show the fingerprints of the keys of each workspace.
    """
    addresses = dict.fromkeys(daemons or (options.operator,))
    outcomes = {
        address: outcome.bind(functools.partial(_check_page, address))
        for address, outcome in fetch_pages(
            '/workspaces', addresses, options
        ).items()
    }
    return print_outcome(_build_report(outcomes, with_keys=keys), options.json)


def show_key_fingerprint() -> int:
    """Show the fingerprint of a key, which is read from standard input.

    No daemon is asked. The key is not an argument, because other users of the
    machine and the history of the shell see arguments.

    Example: fennelfork key-fingerprint < leaked-key.txt
    """
    key = _read_key().strip()
    if not key:
        sys.stderr.write('standard input: no key, expected one line\n')
        return int(ExitCode.BAD_USAGE)
    sys.stdout.write(f'{key_fingerprint(key)}\n')
    return int(ExitCode.DONE)


def _read_key() -> str:
    if sys.stdin.isatty():
        return getpass.getpass('key: ')
    return sys.stdin.readline()


def _build_report(
    outcomes: dict[str, _Outcome], *, with_keys: bool
) -> Result[Report, RequestFailure]:
    read = [each.unwrap() for each in outcomes.values() if is_successful(each)]
    missing = {
        address: outcome.failure()
        for address, outcome in outcomes.items()
        if not is_successful(outcome)
    }
    if not read:
        return Failure(next(iter(missing.values())))
    # Several addresses of one daemon count once.
    pages = {page['daemon']: page for page in read}
    return Success(build_workspaces_report(pages, missing, with_keys=with_keys))


def _check_page(address: str, page: JsonObject) -> _Outcome:
    """Return the page, or a failure if it is the page of another service."""
    is_expected = isinstance(page.get('workspaces'), list) and (
        page.keys() >= {'daemon', 'version', 'without_workspace'}
    )
    if is_expected:
        return Success(page)
    return Failure(
        RequestFailure(
            verdict=Verdict.NOT_RUN,
            detail=f'{address} did not return a list of workspaces',
        )
    )
