"""Errors of the HTTP APIs as RFC 9457 problem documents."""

import http
import json
import math
from typing import Any, Final

import attrs

from fennelfork import Failure, FailureCode

PROBLEM_TYPE: Final = 'application/problem+json'
_MS_PER_SECOND: Final = 1000
_CLIENT_CLOSED: Final = 499
_STATUS: Final = {
    FailureCode.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    FailureCode.UNKNOWN_FRONT: http.HTTPStatus.NOT_FOUND,
    FailureCode.SHED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.QUEUE_FULL: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.UNKNOWN_KEY: http.HTTPStatus.UNAUTHORIZED,
    FailureCode.QUOTA: http.HTTPStatus.TOO_MANY_REQUESTS,
    FailureCode.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
    FailureCode.DRAINING: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.SNAPSHOT_GONE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.NOT_HELD: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.NO_SERVER: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.UNREACHABLE: http.HTTPStatus.BAD_GATEWAY,
    FailureCode.BAD_REPLY: http.HTTPStatus.BAD_GATEWAY,
    FailureCode.CANCELLED: _CLIENT_CLOSED,
    FailureCode.PARTIAL: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.TICKET: http.HTTPStatus.CONFLICT,
    FailureCode.DUPLICATE: http.HTTPStatus.CONFLICT,
    FailureCode.CONFLICT: http.HTTPStatus.CONFLICT,
    FailureCode.QUARANTINED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.PLATFORM: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
}


@attrs.frozen(kw_only=True)
class ProblemReply:
    """Error answer for a WSGI server.

    Attributes:
        status: HTTP status code.
        headers: name and value of each header.
        body: encoded JSON document.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def status_line(self) -> str:
        """Status code and reason phrase for `start_response` of WSGI."""
        return f'{self.status} {_problem_title(self.status)}'


def problem_status(code: FailureCode) -> int:
    """Return the default HTTP status of a failure code."""
    return int(_STATUS[code])


def problem_body(
    failure: Failure,
    request_id: str | None,
    status: int | None = None,
) -> dict[str, Any]:
    """Build the problem document of a failure.

    Args:
        failure: failure that the document describes.
        request_id: request ID of the caller, if known.
        status: HTTP status that overrides the default of the failure code.

    Returns:
        JSON object; members without a value are omitted.
    """
    effective_status = status or problem_status(failure.code)
    document: dict[str, Any] = {
        'type': f'urn:fennelfork:problem:{failure.code.value}',
        'title': _problem_title(effective_status),
        'status': effective_status,
        'detail': failure.detail,
        'code': failure.code.value,
        'verdict': failure.verdict.value,
    }
    if request_id is not None:
        document['request_id'] = request_id
    if failure.retry_after_ms is not None:
        document['retry_after_ms'] = failure.retry_after_ms
    return document


def problem_reply(
    failure: Failure,
    request_id: str | None,
    status: int | None = None,
) -> ProblemReply:
    """Build an error answer; see `problem_body` for the arguments."""
    document = problem_body(failure, request_id, status)
    headers = [('Content-Type', PROBLEM_TYPE)]
    if failure.retry_after_ms is not None:
        seconds = math.ceil(failure.retry_after_ms / _MS_PER_SECOND)
        headers.append(('Retry-After', str(seconds)))
    return ProblemReply(
        status=document['status'],
        headers=tuple(headers),
        body=json.dumps(document).encode(),
    )


def _problem_title(status: int) -> str:
    if status == _CLIENT_CLOSED:
        return 'Client Closed Request'
    return http.HTTPStatus(status).phrase
