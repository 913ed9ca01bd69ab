"""`fennelfork explain`: what a daemon did for one request."""

import json
from typing import Final
from urllib.parse import quote

from returns.result import Failure

from fennelfork_cli._call import Tree
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
    options: OperatorOptions = _HERE,
) -> int:
    """Show what was done for one of the latest requests.

    If the daemon that is asked did not answer it, all others are asked.

    Example: fennelfork explain 6f1c2a --operator 127.0.0.1:8081

    Args:
        request_id: as in the answer or the refusal.
    """
    path = f'/v1/explain/{quote(request_id, safe="")}'
    outcome = fetch(path, options)
    if isinstance(outcome, Failure):
        outcome = fetch_elsewhere(path, options).lash(lambda _: outcome)
    return show_result(outcome.map(_explain_report), options.json)


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
