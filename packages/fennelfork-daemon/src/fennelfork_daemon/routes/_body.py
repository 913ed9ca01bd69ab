"""Reading of the body of a request that is passed on."""

from typing import Any

from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY
from fennelfork_daemon.http._wsgi_request import read_in_time

_LENGTH = 'CONTENT_LENGTH'
_CODING = 'HTTP_TRANSFER_ENCODING'


def read_body(
    environ: dict[str, Any],
    most_bytes: int,
    read_ms: float,
) -> Result[bytes | None, Failure]:
    """Read the body of a request, if it has one.

    Args:
        environ: the WSGI environment of the request.
        most_bytes: the largest body.
        read_ms: the time for all of it.

    Returns:
        The bytes, none for a request without a body, or why it is refused;
        the connection then ends after the answer.
    """
    if _LENGTH not in environ and _CODING not in environ:
        return Success(None)
    # One byte more tells a body that is too long from one that fits.
    body = read_in_time(environ, most_bytes + 1, read_ms)
    if body is None:
        return _refuse(environ, 'the body did not arrive whole and in time')
    if len(body) > most_bytes:
        return _refuse(environ, f'the body exceeds {most_bytes} bytes')
    length = environ.get(_LENGTH)
    if length is not None and len(body) < int(str(length)):
        return _refuse(environ, f'the body ended after {len(body)} bytes')
    return Success(body)


def _refuse(
    environ: dict[str, Any],
    detail: str,
) -> Result[bytes | None, Failure]:
    environ[CLOSE_KEY]()
    return Bad(not_run(FailureCode.BAD_REQUEST, detail))
