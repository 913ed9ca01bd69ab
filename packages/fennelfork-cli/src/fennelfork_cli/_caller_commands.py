"""Commands that use the caller API."""

from typing import Annotated, Final
from urllib.parse import quote

import attrs
from cyclopts import Parameter
from returns.result import Failure, Result

from fennelfork import Verdict
from fennelfork.once import bind_request_id
from fennelfork_cli._caller_reports import (
    build_entries_report,
    build_execute_report,
    build_query_report,
)
from fennelfork_cli._caller_requests import (
    common_fields,
    fetch_entries,
    send_to_entries,
)
from fennelfork_cli._http import JsonObject, RequestFailure
from fennelfork_cli._options import CallerOptions
from fennelfork_cli._page import print_outcome

_DEFAULT_OPTIONS: Final = CallerOptions()
_NO_TICKET: Final = RequestFailure(
    verdict=Verdict.NOT_RUN,
    detail='the daemon is draining and issues no ticket; use another daemon',
)


def entries(*, options: CallerOptions = _DEFAULT_OPTIONS) -> int:
    """Show the entry addresses for callers.

    Example: fennelfork entries --caller 127.0.0.1:8080
    """
    outcome = fetch_entries(options).map(build_entries_report)
    return print_outcome(outcome, options.json)


def query(
    front: str,
    /,
    *,
    text: str | None = None,
    key: Annotated[tuple[int, ...], Parameter(negative='')] = (),
    floor: float | None = None,
    options: CallerOptions = _DEFAULT_OPTIONS,
) -> int:
    """Send a query to a front; exit 5 if the answer is partial.

    Example: fennelfork query raft-search --text flare --deadline-ms 500

    Args:
        front: name of the front.
        text: text that the records must contain; all records if neither text
            nor key is given.
        key: key of a record; may be repeated.
        floor: minimum coverage of a partial answer, such as 0.9; only a
            complete answer is accepted if not given.
    """
    body = common_fields(options) | {
        'query': _build_query_body(text, key),
        'coverage': _build_coverage_body(floor),
    }
    path = f'/v1/fronts/{quote(front, safe="")}/query'
    outcome = fetch_entries(options).bind(
        lambda entries_page: send_to_entries(path, body, entries_page),
    )
    return print_outcome(outcome.map(build_query_report), options.json)


def execute(
    front: str,
    /,
    *,
    key: int,
    action: str,
    ticket: str | None = None,
    options: CallerOptions = _DEFAULT_OPTIONS,
) -> int:
    """Run a non-idempotent request, at most once.

    Exit 3 means that the request did not run. After exit 4, retry with the
    printed --request-id and --ticket: the same pair never runs twice. Without
    --ticket, the serial number of a new ticket is appended to --request-id.

    Example: fennelfork execute certificate-registry --key 7 --action issue

    Args:
        front: name of the front.
        key: key of the record.
        action: action to run.
        ticket: ticket of an earlier attempt; a new ticket if not given.
    """
    path = f'/v1/fronts/{quote(front, safe="")}/execute'
    body = common_fields(options) | {'key': key, 'action': action}
    outcome = fetch_entries(options).bind(
        lambda entries_page: _execute(path, body, ticket, entries_page),
    )
    return print_outcome(outcome.map(build_execute_report), options.json)


def _execute(
    path: str,
    body: JsonObject,
    ticket: str | None,
    entries_page: JsonObject,
) -> Result[JsonObject, RequestFailure]:
    if ticket is not None:
        return _send_execution(path, body | {'ticket': ticket}, entries_page)
    issued = entries_page.get('ticket')
    if issued is None:
        return Failure(_NO_TICKET)
    request_id = bind_request_id(body['request_id'], issued)
    ticketed = body | {'ticket': issued, 'request_id': request_id}
    # Only the daemon that issued a ticket runs requests with the ticket.
    issuer = {'address': entries_page['ticket_address']}
    return _send_execution(path, ticketed, {'entries': [issuer]})


def _send_execution(
    path: str,
    body: JsonObject,
    entries_page: JsonObject,
) -> Result[JsonObject, RequestFailure]:
    return send_to_entries(path, body, entries_page).alt(
        lambda failure: _add_retry_hint(failure, body),
    )


def _add_retry_hint(
    failure: RequestFailure, body: JsonObject
) -> RequestFailure:
    """Add the options for a safe retry if the outcome is unknown."""
    if failure.verdict is Verdict.NOT_RUN:
        return failure
    retry_fields = {name: body[name] for name in ('request_id', 'ticket')}
    return attrs.evolve(
        failure,
        detail=f'{failure.detail}; to retry without running the request twice: '
        f'--request-id {retry_fields["request_id"]} --ticket {retry_fields["ticket"]}',
        problem=retry_fields | failure.problem,
    )


def _build_query_body(text: str | None, keys: tuple[int, ...]) -> JsonObject:
    payload: JsonObject = {}
    if text is not None:
        payload['text'] = text
    if keys:
        payload['keys'] = list(keys)
    return payload


def _build_coverage_body(floor: float | None) -> JsonObject:
    if floor is None:
        return {'mode': 'whole'}
    return {'mode': 'partial', 'floor': floor}
