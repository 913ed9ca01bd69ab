"""Body limits and refusals that the HTTP APIs share."""

from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    failure_reply,
)
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY
from fennelfork_daemon.http._wsgi_request import BodyLimits, Refusal
from fennelfork_daemon.settings._tables import Settings


def body_limits(settings: Settings) -> BodyLimits:
    """Return the limits of request bodies from the settings."""
    return BodyLimits(
        body_bytes=settings.limits.body_bytes,
        read_ms=settings.timeouts.request_read_ms,
    )


def refuse_body(request: HttpRequest, refusal: Refusal) -> HttpReply:
    """Return the answer to a request with a refused body.

    Args:
        request: refused request; the connection is closed after the answer
            if the refusal requires closing.
        refusal: reason of the refusal.
    """
    if refusal.close:
        request.environ[CLOSE_KEY]()
    return failure_reply(refusal.failure, status=refusal.status)
