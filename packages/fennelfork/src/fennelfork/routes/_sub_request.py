"""Sub-request: the share of a request that goes to one service."""

import math
from typing import Final, Generic, TypeVar

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict, not_run
from fennelfork.routes._send import Send

_Part = TypeVar('_Part')
_NO_SERVER: Final = '-'
# The backend server is full, or all connections of this daemon to the server
# are in use.
_REJECTED: Final = frozenset((FailureCode.SHED, FailureCode.QUEUE_FULL))
# Failures of an attempt that has not run and that no backend server received,
# unless the failure says that one did.
_NOT_SENT: Final = frozenset(
    (FailureCode.UNREACHABLE, FailureCode.QUEUE_FULL, FailureCode.CANCELLED)
)


@attrs.frozen(kw_only=True)
class SubRequestEvent:
    """One event of a sub-request, for the log.

    Attributes:
        at_ms: time of the event.
        instance: name of the backend server, `-` if none was chosen.
        description: `sent` or `sent again` at the write of a request,
            `answered`, the failure of the attempt, or the reason why no further
            attempt was sent.
    """

    at_ms: float
    instance: str
    description: str


@attrs.define(kw_only=True)
class SubRequest(Generic[_Part]):
    """Attempts of a sub-request and their outcome.

    Attributes:
        service: name of the service.
        part: response that counts, if one has arrived.
        in_flight: attempts in flight, by number.
        tried: incarnations of servers that attempts were sent to.
        unconnected: incarnations among `tried` without a free connection.
        hedge_at_ms: time at which a hedge is due.
        is_abandoned: whether no further attempt is sent.
        failure: failure of the last failed attempt.
        possible_runs: number of servers that may have run the request; counts
            against the limit of the route.
        possible_arrivals: number of attempts that may have reached a server.
        events: events in the order of their times.
    """

    service: str
    part: _Part | None = None
    in_flight: dict[int, Send] = attrs.field(factory=dict)
    tried: set[str] = attrs.field(factory=set)
    unconnected: set[str] = attrs.field(factory=set)
    hedge_at_ms: float = math.inf
    is_abandoned: bool = False
    failure: Failure = not_run(FailureCode.NO_SERVER, 'no server is known')
    possible_runs: int = 0
    possible_arrivals: int = 0
    events: list[SubRequestEvent] = attrs.field(factory=list)

    @property
    def is_settled(self) -> bool:
        """Whether the outcome is final."""
        return self.part is not None or (
            self.is_abandoned and not self.in_flight
        )

    @property
    def was_rejected(self) -> bool:
        """Whether a server or a local limit rejected the last attempt."""
        return self.failure.code in _REJECTED

    @property
    def is_waiting(self) -> bool:
        """Whether a response that would count is outstanding."""
        return self.part is None and bool(self.in_flight)

    @property
    def verdict(self) -> Verdict:
        """Whether a backend server may have run the request."""
        if self.part is not None:
            return Verdict.RAN
        if self.possible_runs:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def record_attempt(self, send: Send) -> None:
        """Record the decision on an attempt."""
        self.in_flight[send.attempt] = send
        self.tried.add(send.server.incarnation)
        self.possible_runs += 1
        self.possible_arrivals += 1

    def record_write(self, attempt: int, now_ms: float) -> Send:
        """Record that the request of an attempt is being written.

        A hedge that is due because of this attempt waits from now on.

        Returns:
            The attempt with the time of the write.
        """
        decided = self.in_flight[attempt]
        written = attrs.evolve(decided, sent_ms=now_ms)
        self.in_flight[attempt] = written
        self._add_event(
            written, now_ms, 'sent again' if written.repeat else 'sent'
        )
        if attempt == max(self.in_flight):
            self.hedge_at_ms += now_ms - decided.sent_ms
        return written

    def record_response(
        self,
        attempt: int,
        part: _Part,
        now_ms: float,
    ) -> None:
        """Record the response to an attempt; only the first one counts."""
        self._add_event(self.in_flight.pop(attempt), now_ms, 'answered')
        if self.part is None:
            self.part = part

    def record_failure(
        self,
        attempt: int,
        failure: Failure,
        now_ms: float,
    ) -> None:
        """Record the failure of an attempt."""
        send = self.in_flight.pop(attempt)
        self._add_event(send, now_ms, failure.detail)
        self.failure = failure
        if failure.verdict is not Verdict.NOT_RUN:
            return
        self.possible_runs -= 1
        if failure.code in _NOT_SENT and not failure.was_received:
            self.possible_arrivals -= 1
        if failure.code is FailureCode.QUEUE_FULL:
            self.unconnected.add(send.server.incarnation)

    def readmit_unconnected(self) -> bool:
        """Allow further attempts to the servers without a free connection.

        Returns:
            Whether there are such servers.
        """
        if not self.unconnected:
            return False
        self.tried -= self.unconnected
        self.unconnected.clear()
        return True

    def record_refusal(self, reason: str, now_ms: float) -> None:
        """Record the reason why a due attempt is not sent."""
        self.events.append(
            SubRequestEvent(
                at_ms=now_ms,
                instance=_NO_SERVER,
                description=reason,
            ),
        )

    def _add_event(self, send: Send, at_ms: float, description: str) -> None:
        instance = send.server.instance
        self.events.append(
            SubRequestEvent(
                at_ms=at_ms, instance=instance, description=description
            )
        )
