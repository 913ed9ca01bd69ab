"""Bounded log of the requests that a stand-in received and ran."""

import enum
from collections import Counter, deque

import attrs

from fennelfork import Clock


@enum.unique
class Call(enum.Enum):
    """Endpoint that a logged request was sent to."""

    SEARCH = 'search'
    EXECUTE = 'execute'
    CANCEL = 'cancel'


@enum.unique
class EventKind(enum.Enum):
    """Kind of a logged event."""

    RECEIVED = 'received'
    REFUSED = 'refused'
    STARTED = 'started'
    RAN = 'ran'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'
    REPLIED = 'replied'
    FAULT = 'fault'


@attrs.frozen(kw_only=True)
class Subject:
    """The request that an event belongs to.

    Attributes:
        call: endpoint that the request was sent to.
        request_id: identifier of the request.
        sub_query: identifier of the sub-query within the request.
        snapshot: snapshot that a search reads.
        lo: lowest key of a search.
        hi: one above the highest key of a search.
        key: key of an execution.
        action: action of an execution.
    """

    call: Call
    request_id: str
    sub_query: str
    snapshot: int | None = None
    lo: int | None = None
    hi: int | None = None
    key: int | None = None
    action: str | None = None


@attrs.frozen(kw_only=True)
class Event:
    """One event of the log.

    Attributes:
        at_ms: wall-clock time, comparable between processes of one machine.
        kind: kind of the event.
        subject: request that the event belongs to.
        detail: code of a refusal or kind of a fault.
    """

    at_ms: float
    kind: EventKind
    subject: Subject
    detail: str = ''


@attrs.define(kw_only=True)
class EventLog:
    """The latest events, oldest first, and the counts of all events."""

    _clock: Clock
    _events: deque[Event]
    _counts: Counter[str] = attrs.field(factory=Counter)
    _total: int = 0

    @property
    def events(self) -> tuple[Event, ...]:
        """The retained events."""
        return tuple(self._events)

    @property
    def counts(self) -> Counter[str]:
        """Number of events by kind, and by kind and detail."""
        return self._counts

    @property
    def dropped(self) -> int:
        """Number of events that were dropped because of the limit."""
        return self._total - len(self._events)

    def add(self, kind: EventKind, subject: Subject, detail: str = '') -> None:
        """Append an event with the current time."""
        self._total += 1
        self._counts[kind.value] += 1
        if detail:
            self._counts[f'{kind.value}_{detail}'] += 1
        self._events.append(
            Event(
                at_ms=self._clock.now_ms(),
                kind=kind,
                subject=subject,
                detail=detail,
            ),
        )


def event_log(clock: Clock, limit: int) -> EventLog:
    """Build an empty log that retains at most `limit` events."""
    return EventLog(clock=clock, events=deque(maxlen=limit))
