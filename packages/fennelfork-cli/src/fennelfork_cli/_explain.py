"""The command `fennelfork explain`, which shows the events of a request."""

import json
import pathlib
from collections.abc import Sequence
from typing import Final
from urllib.parse import quote

from returns.result import Failure, Result, Success

from fennelfork import Verdict
from fennelfork_cli._http import JsonObject, RequestFailure
from fennelfork_cli._log_search import (
    format_line,
    lines_for_request,
    read_lines,
)
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import (
    fetch_page,
    fetch_page_from_members,
    print_outcome,
)
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_DEFAULT_OPTIONS: Final = OperatorOptions()
_NO_EVENTS: Final = 'no unusual events were recorded'
_EVENT_COLUMNS: Final = ('at_ms', 'event', 'details')
_SEPARATE_COLUMNS: Final = frozenset(('at_ms', 'event'))


def explain(
    request_id: str,
    /,
    *,
    log: Sequence[pathlib.Path] = (),
    options: OperatorOptions = _DEFAULT_OPTIONS,
) -> int:
    """Show the events of a recent request.

    If the given daemon does not know the request, all other daemons are asked.
    With --log, no daemon is asked: the log lines about the request and its
    backend servers are printed in order of time.

    Example: fennelfork explain 6f1c2a --operator 127.0.0.1:8081

    Example: fennelfork explain 6f1c2a --log vm-1.log --log vm-2.log

    Args:
        request_id: request id of the answer or the error.
        log: log file of a daemon; may be repeated.
    """
    if log:
        return print_outcome(_explain_from_logs(request_id, log), options.json)
    path = f'/v1/explain/{quote(request_id, safe="")}'
    outcome = fetch_page(path, options)
    if isinstance(outcome, Failure):
        outcome = fetch_page_from_members(path, options).lash(lambda _: outcome)
    return print_outcome(outcome.map(_build_explain_report), options.json)


def _explain_from_logs(
    request_id: str,
    paths: Sequence[pathlib.Path],
) -> Result[Report, RequestFailure]:
    try:
        texts = [path.read_text(errors='replace') for path in paths]
    except OSError as error:
        return Failure(_build_log_failure(f'cannot read a log file: {error}'))
    lines = read_lines(line for text in texts for line in text.splitlines())
    selected = lines_for_request(lines, request_id)
    if not any(line.request == request_id for line in selected):
        detail = f'the logs hold no line about the request {request_id}'
        return Failure(_build_log_failure(detail))
    return Success(
        Report(
            payload={'events': [line.as_json for line in selected]},
            text='\n'.join(
                text for line in selected for text in format_line(line)
            ),
        ),
    )


def _build_log_failure(detail: str) -> RequestFailure:
    return RequestFailure(verdict=Verdict.NOT_RUN, detail=detail)


def _build_explain_report(payload: JsonObject) -> Report:
    rows = [_format_event_row(event) for event in payload.get('events', ())]
    header_lines = [
        f'{name}: {_format_value(field_value)}'
        for name, field_value in payload.items()
        if name != 'events'
    ]
    events = text_table(_EVENT_COLUMNS, rows) if rows else _NO_EVENTS
    return Report(payload=payload, text='\n'.join((*header_lines, events)))


def _format_event_row(event: JsonObject) -> JsonObject:
    details = [
        f'{name}={_format_value(field_value)}'
        for name, field_value in event.items()
        if name not in _SEPARATE_COLUMNS
    ]
    return {
        'at_ms': event.get('at_ms'),
        'event': event.get('event'),
        'details': ' '.join(details),
    }


def _format_value(field_value: object) -> str:
    return (
        field_value if isinstance(field_value, str) else json.dumps(field_value)
    )
