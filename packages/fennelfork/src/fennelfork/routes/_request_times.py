"""Times of one request, from which its deadline and its answer follow."""

import attrs


@attrs.frozen(kw_only=True)
class RequestTimes:
    """Times of one request, in milliseconds.

    Attributes:
        received_ms: time at which the request was received.
        timeout_ms: timeout of the caller.
        caller_way_ms: time that request and answer take between the caller
            and this daemon; zero if unknown.
    """

    received_ms: float
    timeout_ms: float
    caller_way_ms: float = 0
