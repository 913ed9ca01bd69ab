"""Requests to the caller API: entry addresses first, then the request."""

import uuid
from typing import Final

from returns.result import Failure, Result

from fennelfork import Verdict
from fennelfork_cli._http import (
    ApiRequest,
    JsonObject,
    RequestFailure,
    send_request,
)
from fennelfork_cli._options import CallerOptions

_TIMEOUT_MARGIN_MS: Final = 500
_UNREACHABLE_CODE: Final = 'unreachable'


def fetch_entries(options: CallerOptions) -> Result[JsonObject, RequestFailure]:
    """Fetch the entry addresses."""
    return send_request(
        ApiRequest(
            address=options.caller,
            path='/v1/entries',
            timeout_ms=options.deadline_ms,
        ),
    )


def common_fields(options: CallerOptions) -> JsonObject:
    """Build the fields that queries and executions share."""
    return {
        'request_id': options.request_id or uuid.uuid4().hex,
        'deadline_ms': options.deadline_ms,
        'tenant': options.tenant,
        'class': options.traffic_class,
    }


def send_to_entries(
    path: str,
    body: JsonObject,
    entries: JsonObject,
) -> Result[JsonObject, RequestFailure]:
    """Send a request to the first reachable entry address.

    The next address is tried only if the request was certainly not sent.

    Args:
        path: path of the caller API.
        body: body of the request; its deadline limits the wait.
        entries: answer of `/v1/entries`.
    """
    outcome: Result[JsonObject, RequestFailure] = Failure(
        RequestFailure(
            verdict=Verdict.NOT_RUN,
            detail='the daemon returned no entry addresses',
        ),
    )
    for entry in entries.get('entries', ()):
        outcome = send_request(
            ApiRequest(
                address=entry['address'],
                path=path,
                body=body,
                timeout_ms=body['deadline_ms'] + _TIMEOUT_MARGIN_MS,
            ),
        )
        if not _was_never_sent(outcome):
            return outcome
    return outcome


def _was_never_sent(outcome: Result[JsonObject, RequestFailure]) -> bool:
    if not isinstance(outcome, Failure):
        return False
    failure = outcome.failure()
    return (
        failure.code == _UNREACHABLE_CODE and failure.verdict is Verdict.NOT_RUN
    )
