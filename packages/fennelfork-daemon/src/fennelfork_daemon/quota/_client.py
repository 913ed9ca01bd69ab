"""Client that asks other daemons for permits."""

from typing import Final

import attrs
from returns.pipeline import is_successful

from fennelfork import Clock
from fennelfork.membership import Member
from fennelfork.servers import ConnectionLedger
from fennelfork.workspaces import PermitAsk, PermitGrant
from fennelfork_daemon._address import address
from fennelfork_daemon._json_document import parse_json
from fennelfork_daemon.backend._pool import (
    BackendPool,
    ConnectionTrace,
    backend_pool,
)
from fennelfork_daemon.backend._request import JsonRequest
from fennelfork_daemon.quota._api import PATH
from fennelfork_daemon.quota._codec import decode_grants, encode_ask

_OK: Final = 200
_MAX_ANSWER_BYTES: Final = 1_048_576
# One for reports and some for requests that wait at the same time.
_MAX_CONNECTIONS: Final = 4
# The owners are the most capable daemons. Connections to former owners are
# closed when the number is reached.
_MAX_PEERS: Final = 64


@attrs.define(kw_only=True)
class PermitClient:
    """Sends messages to owners of workspaces."""

    _clock: Clock
    _pools: dict[str, BackendPool] = attrs.field(factory=dict)

    def send(
        self, owner: Member, ask: PermitAsk, timeout_ms: float
    ) -> tuple[PermitGrant, ...] | None:
        """Send a message and return the answer, or None if there is none.

        Args:
            owner: daemon to which the message goes.
            ask: the message.
            timeout_ms: time after which an answer does not count.
        """
        started_ms = self._clock.now_ms()
        request = JsonRequest(
            path=PATH, body=encode_ask(ask), timeout_ms=timeout_ms
        )
        response = self._pool_of(owner.peer).exchange(
            request, ConnectionTrace()
        )
        if not is_successful(response) or response.unwrap().status != _OK:
            return None
        # The validity of the permits counts from the message.
        if self._clock.now_ms() - started_ms > timeout_ms:
            return None
        try:
            tree = parse_json(response.unwrap().body)
        except ValueError:
            return None
        return decode_grants(tree).value_or(None)

    def _pool_of(self, peer: str) -> BackendPool:
        pool = self._pools.get(peer)
        if pool is None:
            if len(self._pools) >= _MAX_PEERS:
                self._pools.pop(next(iter(self._pools))).close()
            ledger = ConnectionLedger(limit=_MAX_CONNECTIONS)
            pool = backend_pool(
                address(peer),
                ledger,
                self._clock,
                _MAX_ANSWER_BYTES,
                probe=None,
            )
            self._pools[peer] = pool
        return pool
