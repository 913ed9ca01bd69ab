"""Reading of the body of a request that is forwarded."""

from typing import Any

from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY
from fennelfork_daemon.http._wsgi_request import read_body_within

_CONTENT_LENGTH = 'CONTENT_LENGTH'
_TRANSFER_ENCODING = 'HTTP_TRANSFER_ENCODING'


def read_body(
    environ: dict[str, Any],
    max_bytes: int,
    timeout_ms: float,
) -> Result[bytes | None, Failure]:
    """Read the body of a request.

    If the body is refused, the connection is closed after the answer.

    Args:
        environ: WSGI environment of the request.
        max_bytes: maximum size of the body.
        timeout_ms: timeout for the complete body, in milliseconds.

    Returns:
        The bytes of the body, none for a request without a body, or the
        failure if the body is too long, incomplete or late.
    """
    if _CONTENT_LENGTH not in environ and _TRANSFER_ENCODING not in environ:
        return Success(None)
    # One additional byte distinguishes a body that is too long.
    body = read_body_within(environ, max_bytes + 1, timeout_ms)
    if body is None:
        return _refuse(
            environ,
            f'the body was not completely received within {timeout_ms:.0f} ms',
        )
    if len(body) > max_bytes:
        return _refuse(
            environ, f'the body exceeds the limit of {max_bytes} bytes'
        )
    length = environ.get(_CONTENT_LENGTH)
    if length is not None and len(body) < int(str(length)):
        return _refuse(
            environ, f'the body ended after {len(body)} of {length} bytes'
        )
    return Success(body)


def _refuse(
    environ: dict[str, Any],
    detail: str,
) -> Result[bytes | None, Failure]:
    environ[CLOSE_KEY]()
    return Bad(not_run(FailureCode.BAD_REQUEST, detail))
