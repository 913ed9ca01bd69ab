"""Applies injected faults to the reply to a request."""

from collections.abc import Iterable
from typing import Final, TypeAlias

import attrs
import eventlet

from fennelfork_bench.backend_server._codec import render_message
from fennelfork_bench.backend_server._faults import (
    FaultKind,
    FaultRule,
    find_fault,
)
from fennelfork_bench.backend_server._messages import ExecuteReply, SearchReply

Reply: TypeAlias = SearchReply | ExecuteReply

_MS_PER_SECOND: Final = 1000


@attrs.frozen(kw_only=True)
class Delivery:
    """A rendered reply and the part of the reply that is sent.

    Attributes:
        body: complete body of the reply.
        sent_bytes: number of bytes of the body that are sent; the connection
            closes after an incomplete body.
        is_dropped: whether the connection closes without a reply.
        is_withheld: whether the connection stays open without a reply.
    """

    body: bytes
    sent_bytes: int
    is_dropped: bool = False
    is_withheld: bool = False


@attrs.define(kw_only=True)
class ReplyFaults:
    """Applies faults to replies; keeps the last reply for CROSS faults."""

    _last_reply: Reply | None = None

    def prepare_delivery(
        self, reply: Reply, faults: Iterable[FaultRule]
    ) -> Delivery:
        """Apply faults to a reply, with a delay for a LATE fault."""
        late = find_fault(faults, FaultKind.LATE)
        if late:
            eventlet.sleep(late.delay_ms / _MS_PER_SECOND)
        kinds = {rule.kind for rule in faults}
        body = render_message(self.corrupt(reply, kinds))
        return Delivery(
            body=body,
            sent_bytes=len(body) // 2 if FaultKind.CUT in kinds else len(body),
            is_dropped=FaultKind.LOSE_REPLY in kinds,
            is_withheld=FaultKind.MUTE in kinds,
        )

    def corrupt(self, reply: Reply, kinds: set[FaultKind]) -> Reply:
        """Return the reply that is sent in place of the correct reply."""
        corrupted = self._apply_faults(reply, kinds)
        self._last_reply = reply
        return corrupted

    def _apply_faults(self, reply: Reply, kinds: set[FaultKind]) -> Reply:
        if FaultKind.CROSS in kinds:
            return self._different_reply(reply)
        if isinstance(reply, ExecuteReply):
            return reply
        if FaultKind.TRUNCATE in kinds:
            half = len(reply.records) // 2
            return attrs.evolve(reply, records=reply.records[:half])
        if FaultKind.DOUBLE in kinds and reply.records:
            doubled = (*reply.records, reply.records[-1])
            return attrs.evolve(reply, records=doubled, count=len(doubled))
        return reply

    def _different_reply(self, reply: Reply) -> Reply:
        last = self._last_reply
        if last and _request_identity(last) != _request_identity(reply):
            return last
        return attrs.evolve(reply, request_id=f'crossed-{reply.request_id}')


def _request_identity(reply: Reply) -> tuple[str, str]:
    """Return the identity of the request that a reply belongs to."""
    return reply.request_id, reply.sub_query
