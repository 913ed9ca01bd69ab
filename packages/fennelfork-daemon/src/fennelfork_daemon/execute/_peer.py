"""Peer RPC handler for non-idempotent requests."""

import attrs

from fennelfork import Clock
from fennelfork_daemon.execute._codec import reply_to_peer, request_from_peer
from fennelfork_daemon.execute._service import ExecuteService


@attrs.frozen(kw_only=True)
class ExecutePeerHandler:
    """Serves requests that another daemon forwarded."""

    _service: ExecuteService
    _clock: Clock

    def execute(self, request: object) -> object:
        """Answer a request with a ticket of this daemon incarnation."""
        received = request_from_peer(request, self._clock.now_ms())
        return reply_to_peer(self._service.answer_locally(received))
