"""What a backend server's reply proves about a non-idempotent request."""

import json
from typing import Any, Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, Verdict, may_have_run

_OK: Final = 200


@attrs.frozen(kw_only=True)
class ExecuteCall:
    """One attempt at a backend server.

    Attributes:
        request_id: the caller's id.
        sub_query: tells this attempt from any other of the same request.
        key: the record that it acts on.
        action: what to do.
    """

    request_id: str
    sub_query: str
    key: int
    action: str


def classify_execute_response(
    call: ExecuteCall,
    status: int,
    body: bytes,
) -> Result[str, Failure]:
    """Tell what came of an attempt whose reply arrived.

    Args:
        call: the attempt that the connection was used for.
        status: HTTP status of the reply.
        body: body of the reply.

    Returns:
        The outcome, or a failure. It says `NOT_RUN` only if the reply is
        about this very attempt and says so itself.
    """
    document = _parse_body(body)
    if not _matches_attempt(call, document):
        return _bad_response('the reply is about another request')
    if status != _OK:
        return Failed(_parse_failure(document))
    outcome = document.get('outcome')
    if document.get('key') != call.key or not isinstance(outcome, str):
        return _bad_response('the reply has no outcome of this key')
    return Success(outcome)


def _matches_attempt(call: ExecuteCall, document: dict[str, Any]) -> bool:
    received = (document.get('request_id'), document.get('sub_query'))
    return received == (call.request_id, call.sub_query)


def _parse_failure(document: dict[str, Any]) -> Failure:
    retry_after_ms = document.get('retry_after_ms')
    return Failure(
        code=_parse_code(document.get('code')),
        verdict=_parse_verdict(document.get('verdict')),
        detail=str(document.get('detail', 'the server gave no reason')),
        retry_after_ms=(
            retry_after_ms if isinstance(retry_after_ms, int) else None
        ),
    )


def _parse_code(received: object) -> FailureCode:
    known = {code.value: code for code in FailureCode}
    return known.get(str(received), FailureCode.BAD_REPLY)


def _parse_verdict(received: object) -> Verdict:
    known = {verdict.value: verdict for verdict in Verdict}
    return known.get(str(received), Verdict.MAY_HAVE_RUN)


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        parsed = json.loads(body)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}


def _bad_response(detail: str) -> Result[str, Failure]:
    return Failed(may_have_run(FailureCode.BAD_REPLY, detail))
