"""What callers may send, and how slowly."""

import attrs


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a connection of a caller may cost.

    Attributes:
        header_bytes: all headers of one request.
        body_bytes: the body of one request.
        header_ms: for the headers of one request to arrive.
        idle_ms: for the next request to begin.
    """

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int
