"""Answers to the requests of callers."""

import attrs

from fennelfork import Failure
from fennelfork_daemon.routes._caller_request import SignedResponse


@attrs.frozen(kw_only=True)
class Forwarded:
    """Response of one backend server, forwarded unchanged.

    Attributes:
        answer: response of the backend server.
    """

    answer: SignedResponse


@attrs.frozen(kw_only=True)
class Merged:
    """Answer merged from the responses of several services.

    Attributes:
        body: largest records of all responses, in descending order.
        signatures: signatures of the merged responses.
        missing: number of services without a response.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing: int


@attrs.frozen(kw_only=True)
class Refused:
    """Answer to a request that failed or was refused.

    Attributes:
        failure: cause, with the verdict on whether the request may have run.
        request_id: ID of the request, or none if the request was not parsed.
    """

    failure: Failure
    request_id: str | None


Answer = Forwarded | Merged | Refused
