"""Counts of the events in a round of the soak test."""

import collections
from typing import Final

from fennelfork import Verdict
from fennelfork_bench.history._caller import (
    Asked,
    ConnectionCut,
    ConnectRefused,
    ExecuteAnswered,
    Malformed,
    QueryAnswered,
    Refused,
)
from fennelfork_bench.history._event import Event
from fennelfork_bench.history._history import History
from fennelfork_bench.history._operator import (
    PatchAccepted,
    PatchRefused,
    PatchUnknown,
)
from fennelfork_bench.history._server import ExecuteRan, QueryRan
from fennelfork_bench.soak._round import RoundResult

Counts = collections.Counter[str]
_EventTypes = dict[str, type[Event]]

_EVENT_TYPES: Final[_EventTypes] = {
    'tries': Asked,
    'query answers': QueryAnswered,
    'execute answers': ExecuteAnswered,
    'refusals': Refused,
    'malformed replies': Malformed,
    'connections cut': ConnectionCut,
    'connections refused': ConnectRefused,
    'sub-queries run': QueryRan,
    'executions run': ExecuteRan,
    'patches accepted': PatchAccepted,
    'patches refused': PatchRefused,
    'patches unknown': PatchUnknown,
}


def count_events(done: RoundResult) -> Counts:
    """Count the events of a round by type, and the violated guarantees."""
    history = done.history
    counts = Counts(rounds=1, faults=len(done.faults))
    for name, event_type in _EVENT_TYPES.items():
        counts[name] = len(history.of_type(event_type))
    counts['partial answers'] = _count_partial_answers(history)
    counts['unknown verdicts'] = _count_unknown_verdicts(history)
    counts['promises broken'] = len(done.violations)
    return counts


def _count_partial_answers(history: History) -> int:
    return sum(not end.complete for end in history.of_type(QueryAnswered))


def _count_unknown_verdicts(history: History) -> int:
    refusals = history.of_type(Refused)
    return sum(end.verdict is Verdict.MAY_HAVE_RUN for end in refusals)
