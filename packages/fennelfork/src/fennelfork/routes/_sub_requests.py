"""Sub-requests of one request, with an index by attempt and by hedge time."""

import math
from collections.abc import Iterable
from typing import Generic, TypeVar

import attrs

from fennelfork.routes._send import Send
from fennelfork.routes._sub_request import SubRequest

_Part = TypeVar('_Part')


@attrs.define(kw_only=True)
class SubRequests(Generic[_Part]):
    """Sub-requests of one request.

    An event of one sub-request costs the same whatever their number.

    Attributes:
        by_service: sub-requests by service.
        response_count: number of sub-requests with a response.
        hedge_due_ms: time before which no hedge is due.
    """

    by_service: dict[str, SubRequest[_Part]]
    response_count: int = 0
    hedge_due_ms: float = math.inf
    _by_attempt: dict[int, SubRequest[_Part]] = attrs.field(factory=dict)
    _unsettled: list[SubRequest[_Part]] = attrs.field(
        default=attrs.Factory(
            lambda known: list(known.by_service.values()), takes_self=True
        )
    )

    @property
    def are_settled(self) -> bool:
        """Whether the outcome of every sub-request is final."""
        while self._unsettled and self._unsettled[-1].is_settled:
            self._unsettled.pop()
        return not self._unsettled

    def record_sends(self, sends: Iterable[Send]) -> None:
        """Record attempts that are being sent."""
        for send in sends:
            sub_request = self.by_service[send.server.service]
            self._by_attempt[send.attempt] = sub_request
            self.hedge_due_ms = min(self.hedge_due_ms, sub_request.hedge_at_ms)

    def find(self, attempt: int) -> SubRequest[_Part] | None:
        """Return the sub-request of an attempt in flight, if it is known."""
        return self._by_attempt.get(attempt)

    def take(self, attempt: int) -> SubRequest[_Part] | None:
        """Return the sub-request of an attempt that ends, if it is known."""
        return self._by_attempt.pop(attempt, None)

    def record_response(
        self,
        sub_request: SubRequest[_Part],
        attempt: int,
        part: _Part,
        now_ms: float,
    ) -> None:
        """Record the response to an attempt; the first of a service counts."""
        self.response_count += sub_request.part is None
        sub_request.record_response(attempt, part, now_ms)

    def take_due_hedges(self, now_ms: float) -> list[SubRequest[_Part]]:
        """Return the sub-requests that are due for a hedge, each once."""
        if now_ms < self.hedge_due_ms:
            return []
        waiting = [
            sub_request
            for sub_request in self.by_service.values()
            if sub_request.is_waiting
        ]
        due = [
            sub_request
            for sub_request in waiting
            if now_ms >= sub_request.hedge_at_ms
        ]
        for late in due:
            late.hedge_at_ms = math.inf
        self.hedge_due_ms = min(
            (sub_request.hedge_at_ms for sub_request in waiting),
            default=math.inf,
        )
        return due
