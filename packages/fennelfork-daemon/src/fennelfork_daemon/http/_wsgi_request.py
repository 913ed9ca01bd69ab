"""Reading of request bodies, bounded in bytes and in time."""

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
    """Why a request was refused before anything was done for it.

    Attributes:
        failure: what is wrong; its verdict is always that nothing ran.
        status: the HTTP status of the answer.
        close: whether the rest of the connection can no longer be read.
    """

    failure: RequestFailure
    status: int
    close: bool


@attrs.frozen(kw_only=True)
class BodyLimits:
    """How much body is read, and for how long.

    Attributes:
        body_bytes: the largest body.
        read_ms: the time for all of it, so that a client that sends a byte
            now and then holds nothing for longer.
    """

    body_bytes: int
    read_ms: int


JsonObject = dict[str, Any]


def read_json_object(
    environ: dict[str, Any],
    limits: BodyLimits,
) -> Result[JsonObject, Refusal]:
    """Read a request's body as one JSON object.

    Args:
        environ: the WSGI environment of the request.
        limits: what bounds the read.

    Returns:
        The object, or why the request is refused.
    """
    return _declared_length(environ, limits).bind(
        lambda length: _read_bytes(environ, length, limits).bind(_parse),
    )


def read_in_time(
    environ: dict[str, Any],
    most_bytes: int,
    read_ms: float,
) -> bytes | None:
    """Read the body of a request as far as it comes within a time.

    Args:
        environ: the WSGI environment of the request.
        most_bytes: how much to read at most.
        read_ms: the time for all of it.

    Returns:
        The bytes, fewer if the body ends before; none if they did not arrive
        in time, the connection broke, or they are no body.
    """
    with eventlet.Timeout(read_ms / _MS_PER_SECOND, exception=False):
        try:
            return bytes(environ['wsgi.input'].read(most_bytes))
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
            f'the body is longer than {limits.body_bytes} bytes',
        )
    return Success(int(text))


def _read_bytes(
    environ: dict[str, Any],
    length: int,
    limits: BodyLimits,
) -> Result[bytes, Refusal]:
    body = read_in_time(environ, length, limits.read_ms)
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


def _parse(body: bytes) -> Result[JsonObject, Refusal]:
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
