"""Size and time limits on the requests of callers."""

import attrs


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on one connection of a caller.

    Attributes:
        header_bytes: maximum size of all headers of one request.
        body_bytes: maximum size of the body of one request.
        header_ms: maximum time for the headers of one request to arrive.
        idle_ms: maximum time before the next request begins.
    """

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int
