"""The bounded log of what a stand-in received, ran and answered."""

import enum
from collections import Counter, deque

import attrs

from fennelfork import Clock


@enum.unique
class Call(enum.Enum):
    """The calls that the log tells apart."""

    SEARCH = 'search'
    EXECUTE = 'execute'
    CANCEL = 'cancel'


@enum.unique
class EventKind(enum.Enum):
    """What happened to a request."""

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
    """The request that an event is about.

    Attributes:
        snapshot: the index version that a search reads.
        lo: lowest key of a search.
        hi: one above the highest key of a search.
        key: the key of an execution.
        action: what an execution does.
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
        at_ms: civil time, comparable between processes of one machine.
        kind: what happened.
        subject: to which request.
        detail: the code of a refusal or the kind of a fault.
    """

    at_ms: float
    kind: EventKind
    subject: Subject
    detail: str = ''


@attrs.define(kw_only=True)
class EventLog:
    """The latest events, oldest first; older ones are only counted."""

    _clock: Clock
    _events: deque[Event]
    _counts: Counter[str] = attrs.field(factory=Counter)
    _total: int = 0

    @property
    def events(self) -> tuple[Event, ...]:
        """The events still held."""
        return tuple(self._events)

    @property
    def counts(self) -> Counter[str]:
        """How many events of each kind, and of each kind and detail, were."""
        return self._counts

    @property
    def dropped(self) -> int:
        """How many events are no longer held."""
        return self._total - len(self._events)

    def add(self, kind: EventKind, subject: Subject, detail: str = '') -> None:
        """Append an event that happens now."""
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
    """Build an empty log that holds at most `limit` events."""
    return EventLog(clock=clock, events=deque(maxlen=limit))
