"""Search for the log lines of one request in the logs of several daemons."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Final

import attrs

from fennelfork_cli._http import JsonObject
from fennelfork_cli._refusals import describe_refusal

# Fields that every log line has; the other fields depend on the event.
_COMMON_FIELDS: Final = frozenset(
    ('event', 'level', 'timestamp', 'daemon', 'request')
)
_STEPS_FIELD: Final = 'steps'
# Identifies requests with the same content.
_FINGERPRINT_FIELD: Final = 'fingerprint'
_FINGERPRINT_EVENTS: Final = frozenset(('server_ended', 'request_judged'))
# Older lines about a backend server do not explain the request.
_MAX_AGE_S: Final = 10


@attrs.frozen(kw_only=True)
class LogLine:
    """Line of the log of a daemon.

    Attributes:
        timestamp: time of the event, ISO 8601.
        daemon: name of the daemon.
        event: name of the event.
        request: id of the request that the line is about.
        facts: fields that are specific to the event.
    """

    timestamp: str
    daemon: str
    event: str
    request: str | None
    facts: JsonObject

    @property
    def as_json(self) -> JsonObject:
        """Line as a JSON object."""
        return {**attrs.asdict(self, recurse=False)}


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines; skip lines that hold no complete JSON event.

    Text before the JSON object is ignored, such as the name of a VM that a
    log collector adds.
    """
    for text in texts:
        start = text.find('{')
        if start >= 0:
            yield from _parse_line(text[start:])


def lines_for_request(
    lines: Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines that explain a request, ordered by time.

    Included are the lines of the request, the lines about its backend servers
    that the same daemon logged within ten seconds before the request ended,
    and, from every daemon, the lines about crashes and status changes of
    requests with the same fingerprint.
    """
    sorted_lines = sorted(lines, key=lambda line: line.timestamp)
    request_lines = [
        line for line in sorted_lines if line.request == request_id
    ]
    return [
        line
        for line in sorted_lines
        if line in request_lines
        or any(
            _concerns_server_of(line, request_line)
            for request_line in request_lines
        )
        or _shares_fingerprint(line, request_lines)
    ]


def format_line(line: LogLine) -> list[str]:
    """Format a log line as text.

    One line follows for the decision that refused the request, if any, and one
    for each step.
    """
    facts = ' '.join(
        f'{name}={_format_value(field_value)}'
        for name, field_value in line.facts.items()
        if name != _STEPS_FIELD
    )
    head = f'{line.timestamp} {line.daemon} {line.event} {facts}'
    refusal = describe_refusal(line.event, line.facts)
    decision = [] if refusal is None else [f'    {refusal}']
    steps = [
        f'    {service}: {step}'
        for service, service_steps in line.facts.get(_STEPS_FIELD, {}).items()
        for step in service_steps
    ]
    return [head, *decision, *steps]


def _parse_line(text: str) -> Iterator[LogLine]:
    try:
        payload = json.loads(text)
    except ValueError:
        return
    if isinstance(payload, dict) and 'event' in payload:
        yield LogLine(
            timestamp=str(payload.get('timestamp', '')),
            daemon=str(payload.get('daemon', '')),
            event=str(payload['event']),
            request=payload.get('request'),
            facts={
                name: field_value
                for name, field_value in payload.items()
                if name not in _COMMON_FIELDS
            },
        )


def _concerns_server_of(line: LogLine, request_line: LogLine) -> bool:
    """Return whether a line is about a backend server of a request."""
    if (
        line.daemon != request_line.daemon
        or line.timestamp > request_line.timestamp
    ):
        return False
    if line.facts.get('server') not in set(_server_names(request_line)):
        return False
    return _age_s(line, request_line) <= _MAX_AGE_S


def _shares_fingerprint(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Return whether a line is about a request with the same fingerprint."""
    fingerprints = {
        request_line.facts.get(_FINGERPRINT_FIELD)
        for request_line in request_lines
    } - {None}
    return (
        line.event in _FINGERPRINT_EVENTS
        and line.facts.get(_FINGERPRINT_FIELD) in fingerprints
    )


def _age_s(line: LogLine, request_line: LogLine) -> float:
    """Return the time between two lines, 0 if a timestamp is malformed."""
    try:
        begin, end = map(
            datetime.fromisoformat, (line.timestamp, request_line.timestamp)
        )
    except ValueError:
        return 0
    return (end - begin).total_seconds()


def _server_names(line: LogLine) -> Iterator[str]:
    for service_steps in line.facts.get(_STEPS_FIELD, {}).values():
        for step in service_steps:
            yield step.partition(' ')[0]


def _format_value(field_value: object) -> str:
    return (
        field_value if isinstance(field_value, str) else json.dumps(field_value)
    )
