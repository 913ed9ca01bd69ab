"""API at which other daemons ask for permits."""

from collections.abc import Callable
from typing import Final

import attrs
from returns.pipeline import is_successful

from fennelfork import FailureCode, not_run
from fennelfork.workspaces import PermitAsk, PermitGrant
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    failure_reply,
    json_reply,
)
from fennelfork_daemon.http._wsgi_request import BodyLimits, read_json_object
from fennelfork_daemon.quota._codec import decode_ask, encode_grants

PATH: Final = '/permits'
# 5,000 workspaces with names of 100 characters.
_MAX_BODY_BYTES: Final = 1_048_576
_READ_MS: Final = 1000
_LIMITS: Final = BodyLimits(body_bytes=_MAX_BODY_BYTES, read_ms=_READ_MS)


@attrs.frozen(kw_only=True)
class _PermitHandler:
    """Answers the messages of other daemons."""

    _answer: Callable[[PermitAsk], tuple[PermitGrant, ...]]

    def permits(self, request: HttpRequest) -> HttpReply:
        """Respond with the grants, or with 400 to an invalid message."""
        body = read_json_object(request.environ, _LIMITS)
        if not is_successful(body):
            refusal = body.failure()
            return failure_reply(refusal.failure, status=refusal.status)
        ask = decode_ask(body.unwrap())
        if not is_successful(ask):
            return failure_reply(
                not_run(FailureCode.BAD_REQUEST, ask.failure())
            )
        return json_reply(encode_grants(self._answer(ask.unwrap())))


def permit_route(
    answer: Callable[[PermitAsk], tuple[PermitGrant, ...]],
) -> Route:
    """Build the route at which other daemons ask for permits.

    Args:
        answer: function that answers a message.
    """
    handler = _PermitHandler(answer=answer).permits
    return Route(method='POST', path=PATH, handler=handler)
