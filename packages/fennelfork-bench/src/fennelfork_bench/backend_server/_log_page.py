"""Messages of the control interface that contain the log of a stand-in."""

import attrs

from fennelfork_bench.backend_server._log import Event
from fennelfork_bench.backend_server._state import ServerState


@attrs.frozen(kw_only=True)
class LogLine:
    """Message with one event of the log."""

    at_ms: float
    kind: str
    call: str
    request_id: str
    sub_query: str
    snapshot: int | None
    lo: int | None
    hi: int | None
    key: int | None
    action: str | None
    detail: str


@attrs.frozen(kw_only=True)
class LogCounts:
    """Message with the event counts and the refused connections."""

    name: str
    counts: dict[str, int]


@attrs.frozen(kw_only=True)
class LogPage:
    """Message with the events and counts of a log."""

    name: str
    connections: int
    connections_peak: int
    connections_refused: int
    dropped: int
    counts: dict[str, int]
    events: tuple[LogLine, ...]


def log_counts(state: ServerState) -> LogCounts:
    """Build the message with the event counts of a server."""
    refused = {'connections_refused': state.connections_refused}
    return LogCounts(
        name=state.settings.name,
        counts={**state.log.counts, **refused},
    )


def log_page(state: ServerState) -> LogPage:
    """Build the message with the log of a server."""
    log = state.log
    return LogPage(
        name=state.settings.name,
        connections=state.connections,
        connections_peak=state.connections_peak,
        connections_refused=state.connections_refused,
        dropped=log.dropped,
        counts=dict(log.counts),
        events=tuple(_build_log_line(event) for event in log.events),
    )


def _build_log_line(event: Event) -> LogLine:
    subject = event.subject
    return LogLine(
        at_ms=event.at_ms,
        kind=event.kind.value,
        call=subject.call.value,
        request_id=subject.request_id,
        sub_query=subject.sub_query,
        snapshot=subject.snapshot,
        lo=subject.lo,
        hi=subject.hi,
        key=subject.key,
        action=subject.action,
        detail=event.detail,
    )
