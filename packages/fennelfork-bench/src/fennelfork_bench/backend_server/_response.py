"""HTTP responses of the stand-in."""

import http
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

import attrs

from fennelfork import Failure, FailureCode, Verdict
from fennelfork_bench.backend_server._codec import render_message
from fennelfork_bench.backend_server._log import Subject
from fennelfork_bench.backend_server._messages import HeldSnapshot, Problem

_Headers: TypeAlias = list[tuple[str, str]]
StartResponse: TypeAlias = Callable[[str, _Headers], Any]

_CLIENT_CLOSED: Final = 499
_MAX_BODY_BYTES: Final = 1_048_576
_STATUSES: Final = {
    FailureCode.SHED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.DRAINING: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureCode.SNAPSHOT_GONE: http.HTTPStatus.CONFLICT,
    FailureCode.NOT_HELD: http.HTTPStatus.CONFLICT,
    FailureCode.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
    FailureCode.CANCELLED: _CLIENT_CLOSED,
}


@attrs.frozen(kw_only=True)
class Response:
    """One HTTP response.

    Attributes:
        body: complete body, whose length the headers contain.
        status: HTTP status code.
        content_type: media type of the body.
        sent_bytes: number of bytes of the body that are sent; none for all.
    """

    body: bytes
    status: int = http.HTTPStatus.OK
    content_type: str = 'application/json'
    sent_bytes: int | None = None


def json_response(message: object) -> Response:
    """Build the response that contains a message."""
    return Response(body=render_message(message))


def failure_response(
    subject: Subject,
    failure: Failure,
    snapshots: tuple[HeldSnapshot, ...],
) -> Response:
    """Build the response to a failed request."""
    return _build_problem_response(
        build_failure_problem(subject, failure, snapshots)
    )


def build_failure_problem(
    subject: Subject,
    failure: Failure,
    snapshots: tuple[HeldSnapshot, ...],
) -> Problem:
    """Build the problem document of a failed request."""
    is_snapshot_gone = failure.code is FailureCode.SNAPSHOT_GONE
    return Problem(
        title=failure.code.value.replace('_', ' '),
        status=_STATUSES[failure.code],
        detail=failure.detail,
        code=failure.code.value,
        verdict=failure.verdict.value,
        request_id=subject.request_id,
        sub_query=subject.sub_query,
        retry_after_ms=failure.retry_after_ms,
        snapshots=snapshots if is_snapshot_gone else (),
    )


def bad_request_response(detail: str) -> Response:
    """Build the response to an invalid request."""
    return _build_problem_response(
        Problem(
            title='bad request',
            status=http.HTTPStatus.BAD_REQUEST,
            detail=detail,
            code=FailureCode.BAD_REQUEST.value,
            verdict=Verdict.NOT_RUN.value,
        ),
    )


def read_body(environ: dict[str, Any]) -> bytes:
    """Read the body of a request.

    Raises:
        ValueError: if the body is too long.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > _MAX_BODY_BYTES:
        raise ValueError(
            f'the body has {length} bytes, more than {_MAX_BODY_BYTES}'
        )
    return environ['wsgi.input'].read(length)


def send_response(
    response: Response,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Start a WSGI response and return its body."""
    start_response(
        f'{int(response.status)} {_reason_phrase(response.status)}',
        [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
        ],
    )
    return [response.body[: response.sent_bytes]]


def _build_problem_response(problem: Problem) -> Response:
    return Response(
        body=render_message(problem),
        status=problem.status,
        content_type='application/problem+json',
    )


def _reason_phrase(status: int) -> str:
    if status == _CLIENT_CLOSED:
        return 'Client Closed Request'
    return http.HTTPStatus(status).phrase
