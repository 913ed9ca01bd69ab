"""One service's part of one request."""

import math
from typing import Final, Generic, TypeVar

import attrs

from fennelfork._verdict import Failure, FailureCode, Verdict, not_run
from fennelfork.routes._send import Send

_Part = TypeVar('_Part')
_NO_SERVER: Final = '-'
# The server is full, or this daemon's connections to it are in use.
_TURNED_AWAY: Final = frozenset((FailureCode.SHED, FailureCode.QUEUE_FULL))
# The copy did not get as far as to a server that took it.
_NOT_SENT: Final = {
    Verdict.NOT_RUN: frozenset(
        (FailureCode.UNREACHABLE, FailureCode.QUEUE_FULL),
    ),
    Verdict.MAY_HAVE_RUN: frozenset((FailureCode.QUEUE_FULL,)),
    Verdict.RAN: frozenset(),
}


@attrs.frozen(kw_only=True)
class LegEvent:
    """One step of a leg, to tell afterwards what was done.

    Attributes:
        at_ms: when.
        instance: the backend server, `-` if none was chosen.
        what: `sent`, `sent again`, `answered`, why the copy failed, or why
            no further one was sent.
    """

    at_ms: float
    instance: str
    what: str


@attrs.define(kw_only=True)
class Leg(Generic[_Part]):
    """What was sent to a service, and what came of it.

    Attributes:
        service: which one.
        part: the answer that counts, once there is one.
        running: sends that were not answered, by attempt.
        tried: runs of servers that the request was sent to.
        unconnected: those of them to which no connection was to be had.
        hedge_ms: when to send a second copy.
        abandoned: whether nothing more is sent.
        failure: the last failure.
        runs: backend servers that may have run the request.
        cut: those of them whose new connection was reset at once: they surely
            count as no attempt, as they took no further connection or ended.
        arrivals: sends that may have reached a backend server.
        events: what was done, in order.
    """

    service: str
    part: _Part | None = None
    running: dict[int, Send] = attrs.field(factory=dict)
    tried: set[str] = attrs.field(factory=set)
    unconnected: set[str] = attrs.field(factory=set)
    hedge_ms: float = math.inf
    abandoned: bool = False
    failure: Failure = not_run(FailureCode.NO_SERVER, 'no server is known')
    runs: int = 0
    cut: int = 0
    arrivals: int = 0
    events: list[LegEvent] = attrs.field(factory=list)

    @property
    def settled(self) -> bool:
        """Whether nothing more is to be expected."""
        return self.part is not None or (self.abandoned and not self.running)

    @property
    def attempts(self) -> int:
        """How many servers count as having had the request."""
        return self.runs - self.cut

    @property
    def turned_away(self) -> bool:
        """Whether a server or a limit of ours last turned it away."""
        return self.failure.code in _TURNED_AWAY

    @property
    def waiting(self) -> bool:
        """Whether it waits for an answer that would count."""
        return self.part is None and bool(self.running)

    @property
    def verdict(self) -> Verdict:
        """Whether a server may have run the request."""
        if self.part is not None:
            return Verdict.RAN
        if self.runs:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def sent(self, send: Send) -> None:
        """Note a copy that goes out."""
        self.running[send.attempt] = send
        self.tried.add(send.server.run)
        self.runs += 1
        self.arrivals += 1
        self._note(send, send.sent_ms, 'sent again' if send.repeat else 'sent')

    def answered(self, attempt: int, part: _Part, now_ms: float) -> None:
        """Take the answer to a copy; only the first counts."""
        self._note(self.running.pop(attempt), now_ms, 'answered')
        if self.part is None:
            self.part = part

    def failed(self, attempt: int, failure: Failure, now_ms: float) -> None:
        """Note that a copy was not answered well."""
        send = self.running.pop(attempt)
        self._note(send, now_ms, failure.detail)
        self.failure = failure
        if failure.code is FailureCode.QUEUE_FULL:
            self.unconnected.add(send.server.run)
        if failure.code in _NOT_SENT[failure.verdict]:
            self.arrivals -= 1
        if failure.verdict is Verdict.NOT_RUN:
            self.runs -= 1
        elif failure.code is FailureCode.QUEUE_FULL:
            self.cut += 1

    def forget_unconnected(self) -> bool:
        """Allow the servers again that it did not get to; tell if any."""
        if not self.unconnected:
            return False
        self.tried -= self.unconnected
        self.unconnected.clear()
        return True

    def denied(self, reason: str, now_ms: float) -> None:
        """Note why no copy goes out, although one was due."""
        self.events.append(
            LegEvent(at_ms=now_ms, instance=_NO_SERVER, what=reason),
        )

    def _note(self, send: Send, at_ms: float, what: str) -> None:
        instance = send.server.instance
        self.events.append(LegEvent(at_ms=at_ms, instance=instance, what=what))
