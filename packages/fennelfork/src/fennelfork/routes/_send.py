"""Instruction to send one attempt to a backend server."""

import attrs

from fennelfork.routes._server_directory import BackendServer


@attrs.frozen(kw_only=True)
class Send:
    """Instruction to send one attempt now.

    Attributes:
        attempt: number of the attempt, unique within one daemon.
        server: backend server that receives the attempt.
        repeat: whether an earlier attempt may have reached the service.
        sent_ms: time of the write, or of the decision until the write.
        alone: whether all other attempts of the request wait for the outcome
            of this attempt.
    """

    attempt: int
    server: BackendServer
    repeat: bool
    sent_ms: float
    alone: bool = False
