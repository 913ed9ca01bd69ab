"""Reading of request bodies with limits on size and time."""

import http
import json
from typing import Any, Final

import attrs
import eventlet
from eventlet.wsgi import ChunkReadError
from returns.result import Failure, Result, Success

from fennelfork import Failure as RequestFailure
from fennelfork import FailureCode, not_run

_MS_PER_SECOND: Final = 1000


@attrs.frozen(kw_only=True)
class Refusal:
    """Reason why a request is refused before processing.

    Attributes:
        failure: failure with the verdict that the request did not run.
        status: HTTP status of the answer.
        close: whether the connection must be closed after the answer,
            because the body was not read completely.
    """

    failure: RequestFailure
    status: int
    close: bool


@attrs.frozen(kw_only=True)
class BodyLimits:
    """Limits on the size and the read time of a request body.

    Attributes:
        body_bytes: maximum size of a body.
        read_ms: timeout for the whole body, so that slow clients do not hold
            resources.
    """

    body_bytes: int
    read_ms: int


JsonObject = dict[str, Any]


def read_json_object(
    environ: dict[str, Any],
    limits: BodyLimits,
) -> Result[JsonObject, Refusal]:
    """Read the body of a request as a JSON object.

    Args:
        environ: WSGI environment of the request.
        limits: limits on the size and the read time of the body.

    Returns:
        JSON object, or the refusal of the request.
    """
    return _declared_length(environ, limits).bind(
        lambda length: _read_bytes(environ, length, limits).bind(
            _parse_json_object
        ),
    )


def read_body_within(
    environ: dict[str, Any],
    max_bytes: int,
    read_ms: float,
) -> bytes | None:
    """Read the body of a request with a timeout.

    Args:
        environ: WSGI environment of the request.
        max_bytes: maximum number of bytes to read.
        read_ms: timeout for the whole read.

    Returns:
        Bytes of the body, fewer than `max_bytes` if the body ends earlier;
        None after a timeout, a connection error or invalid chunks.
    """
    with eventlet.Timeout(read_ms / _MS_PER_SECOND, exception=False):
        try:
            return bytes(environ['wsgi.input'].read(max_bytes))
        except (OSError, ValueError, ChunkReadError):
            return None
    return None


def _declared_length(
    environ: dict[str, Any],
    limits: BodyLimits,
) -> Result[int, Refusal]:
    text = environ.get('CONTENT_LENGTH') or ''
    if not text:
        return _refuse(
            http.HTTPStatus.LENGTH_REQUIRED,
            'the request has no Content-Length',
        )
    if not (text.isascii() and text.isdigit()):
        return _refuse(
            http.HTTPStatus.BAD_REQUEST,
            'Content-Length is not a whole number',
        )
    if int(text) > limits.body_bytes:
        return _refuse(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'the body exceeds {limits.body_bytes} bytes',
        )
    return Success(int(text))


def _read_bytes(
    environ: dict[str, Any],
    length: int,
    limits: BodyLimits,
) -> Result[bytes, Refusal]:
    body = read_body_within(environ, length, limits.read_ms)
    if body is None:
        return _refuse(
            http.HTTPStatus.REQUEST_TIMEOUT,
            f'the body did not arrive within {limits.read_ms} ms',
        )
    if len(body) < length:
        return _refuse(
            http.HTTPStatus.BAD_REQUEST,
            f'the body ended after {len(body)} of {length} bytes',
        )
    return Success(body)


def _parse_json_object(body: bytes) -> Result[JsonObject, Refusal]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as err:
        return _refuse(
            http.HTTPStatus.BAD_REQUEST,
            f'the body is not JSON: {err}',
            close=False,
        )
    if not isinstance(document, dict):
        return _refuse(
            http.HTTPStatus.BAD_REQUEST,
            'the body is JSON, but not an object',
            close=False,
        )
    return Success(document)


def _refuse(
    status: int,
    detail: str,
    close: bool = True,
) -> Result[Any, Refusal]:
    return Failure(
        Refusal(
            failure=not_run(FailureCode.BAD_REQUEST, detail),
            status=int(status),
            close=close,
        ),
    )
