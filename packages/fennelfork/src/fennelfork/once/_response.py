"""Classification of a backend server's response to an execute request."""

import json
from typing import Any, Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, Verdict, may_have_run

_OK: Final = 200


@attrs.frozen(kw_only=True)
class ExecuteCall:
    """Attempt to execute a request on a backend server.

    Attributes:
        request_id: request id of the caller.
        sub_query: id that distinguishes the attempts of one request.
        key: key of the record that the request changes.
        action: action in the terms of the backend server.
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
    """Classify the response to an attempt.

    Args:
        call: attempt that used the connection.
        status: HTTP status of the response.
        body: body of the response.

    Returns:
        The outcome or a failure. The verdict is `NOT_RUN` only if the response
        names this attempt and contains that verdict.
    """
    document = _parse_body(body)
    if not _matches_attempt(call, document):
        return _bad_response('the response is for another attempt')
    if status != _OK:
        return Failed(_parse_failure(document))
    outcome = document.get('outcome')
    if document.get('key') != call.key or not isinstance(outcome, str):
        return _bad_response(
            'the response has no outcome for the key of the request'
        )
    return Success(outcome)


def _matches_attempt(call: ExecuteCall, document: dict[str, Any]) -> bool:
    received = (document.get('request_id'), document.get('sub_query'))
    return received == (call.request_id, call.sub_query)


def _parse_failure(document: dict[str, Any]) -> Failure:
    retry_after_ms = document.get('retry_after_ms')
    return Failure(
        code=_parse_code(document.get('code')),
        verdict=_parse_verdict(document.get('verdict')),
        detail=str(document.get('detail', 'the backend server gave no reason')),
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
    except (ValueError, RecursionError):
        return {}
    return parsed if isinstance(parsed, dict) else {}


def _bad_response(detail: str) -> Result[str, Failure]:
    return Failed(may_have_run(FailureCode.BAD_REPLY, detail))
