"""Commands that act as a caller does."""

from typing import Annotated, Final
from urllib.parse import quote

import attrs
from cyclopts import Parameter
from returns.result import Failure, Result

from fennelfork import Verdict
from fennelfork.once import bind_request_id
from fennelfork_cli._caller_reports import (
    entries_report,
    execute_report,
    query_report,
)
from fennelfork_cli._caller_requests import ask, fetch_entries, request_body
from fennelfork_cli._http import CallFailure, Tree
from fennelfork_cli._options import CallerOptions
from fennelfork_cli._page import show_result

_HERE: Final = CallerOptions()
_NO_TICKET: Final = CallFailure(
    verdict=Verdict.NOT_RUN,
    detail='the daemon asked is leaving and gives no ticket; ask another',
)


def entries(*, options: CallerOptions = _HERE) -> int:
    """Show which addresses the system gives a caller.

    Example: fennelfork entries --caller 127.0.0.1:8080
    """
    outcome = fetch_entries(options).map(entries_report)
    return show_result(outcome, options.json)


def query(
    front: str,
    /,
    *,
    text: str | None = None,
    key: Annotated[tuple[int, ...], Parameter(negative='')] = (),
    floor: float | None = None,
    options: CallerOptions = _HERE,
) -> int:
    """Ask a front as a caller does; exit 5 if the answer is partial.

    Example: fennelfork query raft-search --text flare --deadline-ms 500

    Args:
        front: which front to ask.
        text: only records that contain it; without text or keys, all.
        key: only the record of this key; may be repeated.
        floor: take a partial answer of at least this share, such as 0.9;
            without it the answer is whole or refused.
    """
    body = request_body(options) | {
        'query': _query_tree(text, key),
        'coverage': _coverage_tree(floor),
    }
    path = f'/v1/fronts/{quote(front, safe="")}/query'
    outcome = fetch_entries(options).bind(
        lambda found: ask(path, body, found),
    )
    return show_result(outcome.map(query_report), options.json)


def execute(
    front: str,
    /,
    *,
    key: int,
    action: str,
    ticket: str | None = None,
    options: CallerOptions = _HERE,
) -> int:
    """Run a non-idempotent request, at most once.

    Exit 3 says that it did not run. After exit 4, ask again with the printed
    --request-id and --ticket: the same pair never runs twice. A first
    --request-id is a name, to which the serial of the ticket is added.

    Example: fennelfork execute certificate-registry --key 7 --action issue

    Args:
        front: which front to ask.
        key: the record that it concerns.
        action: what to do.
        ticket: of an earlier attempt; a new one if not given.
    """
    path = f'/v1/fronts/{quote(front, safe="")}/execute'
    body = request_body(options) | {'key': key, 'action': action}
    outcome = fetch_entries(options).bind(
        lambda found: _execute(path, body, ticket, found),
    )
    return show_result(outcome.map(execute_report), options.json)


def _execute(
    path: str,
    body: Tree,
    ticket: str | None,
    found: Tree,
) -> Result[Tree, CallFailure]:
    if ticket is not None:
        return _ask_once(path, body | {'ticket': ticket}, found)
    issued = found.get('ticket')
    if issued is None:
        return Failure(_NO_TICKET)
    request_id = bind_request_id(body['request_id'], issued)
    ticketed = body | {'ticket': issued, 'request_id': request_id}
    # Only the daemon that issued the ticket runs requests under it.
    issuer = {'address': found['ticket_address']}
    return _ask_once(path, ticketed, {'entries': [issuer]})


def _ask_once(
    path: str,
    body: Tree,
    found: Tree,
) -> Result[Tree, CallFailure]:
    return ask(path, body, found).alt(
        lambda failure: _with_way_back(failure, body),
    )


def _with_way_back(failure: CallFailure, body: Tree) -> CallFailure:
    """Tell how to ask again when the outcome is unknown."""
    if failure.verdict is Verdict.NOT_RUN:
        return failure
    again = {name: body[name] for name in ('request_id', 'ticket')}
    return attrs.evolve(
        failure,
        detail=f'{failure.detail}; to ask again without running it twice: '
        f'--request-id {again["request_id"]} --ticket {again["ticket"]}',
        problem=again | failure.problem,
    )


def _query_tree(text: str | None, keys: tuple[int, ...]) -> Tree:
    tree: Tree = {}
    if text is not None:
        tree['text'] = text
    if keys:
        tree['keys'] = list(keys)
    return tree


def _coverage_tree(floor: float | None) -> Tree:
    if floor is None:
        return {'mode': 'whole'}
    return {'mode': 'partial', 'floor': floor}
