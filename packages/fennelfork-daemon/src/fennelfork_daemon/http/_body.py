"""What the HTTP faces have in common when they read bodies."""

from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    failure_reply,
)
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY
from fennelfork_daemon.http._wsgi_request import BodyLimits, Refusal
from fennelfork_daemon.settings._tables import Settings


def body_limits(settings: Settings) -> BodyLimits:
    """Take the limits of bodies from the settings."""
    return BodyLimits(
        body_bytes=settings.limits.body_bytes,
        read_ms=settings.timeouts.request_read_ms,
    )


def refused_body(request: HttpRequest, refusal: Refusal) -> HttpReply:
    """Answer a request whose body was not taken.

    Args:
        request: the request; its connection ends if the rest of the body
            cannot be read any more.
        refusal: why.
    """
    if refusal.close:
        request.environ[CLOSE_KEY]()
    return failure_reply(refusal.failure, status=refusal.status)
