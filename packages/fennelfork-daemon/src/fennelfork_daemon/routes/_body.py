"""Reading of the body of a request that is passed on."""

import eventlet
from eventlet.wsgi import ChunkReadError
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY

_MS_PER_SECOND = 1000
_LENGTH = 'CONTENT_LENGTH'
_CODING = 'HTTP_TRANSFER_ENCODING'


def read_body(
    environ: dict[str, object],
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
    body = _read(environ, most_bytes, read_ms)
    if body is None:
        return _refuse(environ, 'the body did not arrive whole and in time')
    if len(body) > most_bytes:
        return _refuse(environ, f'the body exceeds {most_bytes} bytes')
    length = environ.get(_LENGTH)
    if length is not None and len(body) < int(str(length)):
        return _refuse(environ, f'the body ended after {len(body)} bytes')
    return Success(body)


def _read(
    environ: dict[str, object],
    most_bytes: int,
    read_ms: float,
) -> bytes | None:
    with eventlet.Timeout(read_ms / _MS_PER_SECOND, exception=False):
        try:
            return bytes(environ['wsgi.input'].read(most_bytes + 1))  # type: ignore[attr-defined]
        except (OSError, ValueError, ChunkReadError):
            return None
    return None


def _refuse(
    environ: dict[str, object],
    detail: str,
) -> Result[bytes | None, Failure]:
    environ[CLOSE_KEY]()  # type: ignore[operator]
    return Bad(not_run(FailureCode.BAD_REQUEST, detail))
