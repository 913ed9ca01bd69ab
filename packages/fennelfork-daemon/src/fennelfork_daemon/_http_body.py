"""Bodies of the HTTP faces: read, or refused with an answer."""

from typing import Any

from returns.result import Result

from fennelfork import Failure
from fennelfork_daemon._http_router import (
    HttpReply,
    HttpRequest,
    failure_reply,
)
from fennelfork_daemon._settings_tables import Settings
from fennelfork_daemon._wsgi_protocol import CLOSE_KEY
from fennelfork_daemon._wsgi_request import (
    BodyLimits,
    Refusal,
    read_json_object,
)


def body_limits(settings: Settings) -> BodyLimits:
    """Give what bounds the bodies of every face."""
    return BodyLimits(
        body_bytes=settings.limits.body_bytes,
        read_ms=settings.timeouts.request_read_ms,
    )


def read_body(
    request: HttpRequest,
    limits: BodyLimits,
) -> Result[dict[str, Any], Refusal]:
    """Read the body of a request as a JSON object.

    Where the rest of a refused request can no longer be told from the next
    one, the connection ends after the answer.
    """
    return read_json_object(request.environ, limits).alt(
        lambda refusal: _ended(request, refusal),
    )


def refusal_reply(
    refusal: Refusal,
    failure: Failure | None = None,
) -> HttpReply:
    """Answer a request whose body was refused.

    Args:
        refusal: why.
        failure: told in its place, where the face knows more of the request.
    """
    return failure_reply(failure or refusal.failure, status=refusal.status)


def _ended(request: HttpRequest, refusal: Refusal) -> Refusal:
    if refusal.close:
        request.environ[CLOSE_KEY]()
    return refusal
