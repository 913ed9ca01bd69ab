"""`fennelfork explain`: what a daemon did for one request."""

import json
import pathlib
from collections.abc import Sequence
from typing import Final
from urllib.parse import quote

from returns.result import Failure, Result, Success

from fennelfork import Verdict
from fennelfork_cli._http import CallFailure, Tree
from fennelfork_cli._log_search import line_texts, read_lines, story
from fennelfork_cli._options import OperatorOptions
from fennelfork_cli._page import fetch, fetch_elsewhere, show_result
from fennelfork_cli._report import Report
from fennelfork_cli._text_table import text_table

_HERE: Final = OperatorOptions()
_NO_EVENTS: Final = 'nothing unusual was noted'
_EVENTS: Final = ('at_ms', 'event', 'details')
_COLUMNS_SHOWN: Final = frozenset(('at_ms', 'event'))


def explain(
    request_id: str,
    /,
    *,
    log: Sequence[pathlib.Path] = (),
    options: OperatorOptions = _HERE,
) -> int:
    """Show what was done for one of the latest requests.

    If the daemon that is asked did not answer it, all others are asked. With
    logs no daemon is asked: the lines on the request, and on the servers that
    it was sent to, are told in the order of time.

    Example: fennelfork explain 6f1c2a --operator 127.0.0.1:8081

    Example: fennelfork explain 6f1c2a --log vm-1.log --log vm-2.log

    Args:
        request_id: as in the answer or the refusal.
        log: captured logs of daemons.
    """
    if log:
        return show_result(_from_logs(request_id, log), options.json)
    path = f'/v1/explain/{quote(request_id, safe="")}'
    outcome = fetch(path, options)
    if isinstance(outcome, Failure):
        outcome = fetch_elsewhere(path, options).lash(lambda _: outcome)
    return show_result(outcome.map(_explain_report), options.json)


def _from_logs(
    request_id: str,
    paths: Sequence[pathlib.Path],
) -> Result[Report, CallFailure]:
    try:
        texts = [path.read_text(errors='replace') for path in paths]
    except OSError as error:
        return Failure(_unread(f'a log cannot be read: {error}'))
    lines = read_lines(line for text in texts for line in text.splitlines())
    told = story(lines, request_id)
    if not any(line.request == request_id for line in told):
        detail = f'no line of these logs names {request_id}'
        return Failure(_unread(detail))
    return Success(
        Report(
            tree={'events': [line.as_tree for line in told]},
            text='\n'.join(text for line in told for text in line_texts(line)),
        ),
    )


def _unread(detail: str) -> CallFailure:
    return CallFailure(verdict=Verdict.NOT_RUN, detail=detail)


def _explain_report(tree: Tree) -> Report:
    rows = [_event_row(event) for event in tree.get('events', ())]
    facts = [
        f'{name}: {_plain(found)}'
        for name, found in tree.items()
        if name != 'events'
    ]
    events = text_table(_EVENTS, rows) if rows else _NO_EVENTS
    return Report(tree=tree, text='\n'.join((*facts, events)))


def _event_row(event: Tree) -> Tree:
    details = [
        f'{name}={_plain(found)}'
        for name, found in event.items()
        if name not in _COLUMNS_SHOWN
    ]
    return {
        'at_ms': event.get('at_ms'),
        'event': event.get('event'),
        'details': ' '.join(details),
    }


def _plain(found: object) -> str:
    return found if isinstance(found, str) else json.dumps(found)
