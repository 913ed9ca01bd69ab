"""The bounded log of what a stand-in received, ran and answered."""

import enum
from collections import deque

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
    """The request that an event is about."""

    call: Call
    request_id: str
    sub_query: str
    key: int | None = None


@attrs.frozen(kw_only=True)
class Event:
    """One event of the log.

    Attributes:
        at_ms: monotonic time, comparable between processes of one machine.
        kind: what happened.
        subject: to which request.
        detail: the code of a refusal or the kind of a fault.
    """

    at_ms: float
    kind: EventKind
    subject: Subject
    detail: str = ''


@attrs.frozen(kw_only=True)
class EventLog:
    """The latest events, oldest first; older ones are only counted."""

    _clock: Clock
    _events: deque[Event]
    _counts: dict[EventKind, int] = attrs.field(factory=dict)

    @property
    def events(self) -> tuple[Event, ...]:
        """The events still held."""
        return tuple(self._events)

    @property
    def dropped(self) -> int:
        """How many events no longer are held."""
        return sum(self._counts.values()) - len(self._events)

    def count(self, kind: EventKind) -> int:
        """Give how many events of a kind there were, dropped ones too."""
        return self._counts.get(kind, 0)

    def add(self, kind: EventKind, subject: Subject, detail: str = '') -> None:
        """Append an event that happens now."""
        self._counts[kind] = self.count(kind) + 1
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


@attrs.frozen(kw_only=True)
class LogLine:
    """An event as the control face sends it."""

    at_ms: float
    kind: str
    call: str
    request_id: str
    sub_query: str
    key: int | None
    detail: str


@attrs.frozen(kw_only=True)
class LogPage:
    """The log as the control face sends it."""

    name: str
    dropped: int
    counts: dict[str, int]
    events: tuple[LogLine, ...]


def log_page(name: str, log: EventLog) -> LogPage:
    """Give the log of the server `name` as a message."""
    return LogPage(
        name=name,
        dropped=log.dropped,
        counts={kind.value: log.count(kind) for kind in EventKind},
        events=tuple(_log_line(event) for event in log.events),
    )


def _log_line(event: Event) -> LogLine:
    subject = event.subject
    return LogLine(
        at_ms=event.at_ms,
        kind=event.kind.value,
        call=subject.call.value,
        request_id=subject.request_id,
        sub_query=subject.sub_query,
        key=subject.key,
        detail=event.detail,
    )
