"""Sends the reply of a request, spoiled by the faults that met it."""

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
    """What goes out on the connection.

    Attributes:
        body: the bytes of the reply.
        sent: how many of them are sent; below their number, the connection
            closes after them.
        lost: whether nothing is sent and the connection closes.
        muted: whether nothing is sent and the connection stays open.
    """

    body: bytes
    sent: int
    lost: bool = False
    muted: bool = False


@attrs.define(kw_only=True)
class Spoiler:
    """Spoils replies; remembers the last one, to cross it with another."""

    _last: Reply | None = None

    def deliver(self, reply: Reply, faults: Iterable[FaultRule]) -> Delivery:
        """Turn a reply into what goes out, late if a fault says so."""
        late = find_fault(faults, FaultKind.LATE)
        if late:
            eventlet.sleep(late.delay_ms / _MS_PER_SECOND)
        kinds = {rule.kind for rule in faults}
        body = render_message(self.spoil(reply, kinds))
        return Delivery(
            body=body,
            sent=len(body) // 2 if FaultKind.CUT in kinds else len(body),
            lost=FaultKind.LOSE_REPLY in kinds,
            muted=FaultKind.MUTE in kinds,
        )

    def spoil(self, reply: Reply, kinds: set[FaultKind]) -> Reply:
        """Give what is sent in place of a reply."""
        spoiled = self._spoiled(reply, kinds)
        self._last = reply
        return spoiled

    def _spoiled(self, reply: Reply, kinds: set[FaultKind]) -> Reply:
        if FaultKind.CROSS in kinds:
            return self._other_than(reply)
        if isinstance(reply, ExecuteReply):
            return reply
        if FaultKind.TRUNCATE in kinds:
            half = len(reply.records) // 2
            return attrs.evolve(reply, records=reply.records[:half])
        if FaultKind.DOUBLE in kinds and reply.records:
            doubled = (*reply.records, reply.records[-1])
            return attrs.evolve(reply, records=doubled, count=len(doubled))
        return reply

    def _other_than(self, reply: Reply) -> Reply:
        last = self._last
        if last and _identity(last) != _identity(reply):
            return last
        return attrs.evolve(reply, request_id=f'crossed-{reply.request_id}')


def _identity(reply: Reply) -> tuple[str, str]:
    """Name the request of a reply."""
    return reply.request_id, reply.sub_query
