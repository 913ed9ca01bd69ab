"""The order to send one copy of a request to a backend server."""

import attrs

from fennelfork.routes._server_directory import BackendServer


@attrs.frozen(kw_only=True)
class Send:
    """What is to be sent now.

    Attributes:
        attempt: numbers the sends of one daemon.
        server: where to.
        repeat: whether the service may have got the request before.
        sent_ms: the time of the order.
        alone: whether all other copies wait for what comes of it.
    """

    attempt: int
    server: BackendServer
    repeat: bool
    sent_ms: float
    alone: bool = False
