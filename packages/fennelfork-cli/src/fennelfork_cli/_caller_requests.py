"""Requests as a caller makes them: ask for entries, then the first one."""

import uuid
from typing import Final

from returns.result import Failure, Result

from fennelfork import Verdict
from fennelfork_cli._http import Call, CallFailure, Tree, send
from fennelfork_cli._options import CallerOptions

_MARGIN_MS: Final = 500
_UNREACHED: Final = 'unreachable'


def fetch_entries(options: CallerOptions) -> Result[Tree, CallFailure]:
    """Ask which addresses of the system to use."""
    return send(
        Call(
            address=options.caller,
            path='/v1/entries',
            timeout_ms=options.deadline_ms,
        ),
    )


def request_body(options: CallerOptions) -> Tree:
    """Build what queries and executions have in common."""
    return {
        'request_id': options.request_id or uuid.uuid4().hex,
        'deadline_ms': options.deadline_ms,
        'tenant': options.tenant,
        'class': options.traffic_class,
    }


def ask(
    path: str,
    body: Tree,
    entries: Tree,
) -> Result[Tree, CallFailure]:
    """Send a request to the first entry address that can be reached.

    The next address is tried only while it is certain that nothing was sent.

    Args:
        path: of the caller face.
        body: the request; its deadline bounds the wait.
        entries: an answer of `/v1/entries`.
    """
    outcome: Result[Tree, CallFailure] = Failure(
        CallFailure(
            verdict=Verdict.NOT_RUN,
            detail='the system gave no entry address',
        ),
    )
    for entry in entries.get('entries', ()):
        outcome = send(
            Call(
                address=entry['address'],
                path=path,
                body=body,
                timeout_ms=body['deadline_ms'] + _MARGIN_MS,
            ),
        )
        if not _never_sent(outcome):
            return outcome
    return outcome


def _never_sent(outcome: Result[Tree, CallFailure]) -> bool:
    if not isinstance(outcome, Failure):
        return False
    failure = outcome.failure()
    return failure.code == _UNREACHED and failure.verdict is Verdict.NOT_RUN
