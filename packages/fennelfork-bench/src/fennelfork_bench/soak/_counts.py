"""Counts what happened in a round of the soak."""

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
from fennelfork_bench.soak._round import Round

Counts = collections.Counter[str]
_Kinds = dict[str, type[Event]]

_KINDS: Final[_Kinds] = {
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


def count(done: Round) -> Counts:
    """Count the events of a round by kind, and its broken promises."""
    history = done.history
    counts = Counts(rounds=1, faults=len(done.faults))
    for name, kind in _KINDS.items():
        counts[name] = len(history.of(kind))
    counts['partial answers'] = _partial(history)
    counts['unknown verdicts'] = _unsure(history)
    counts['promises broken'] = len(done.violations)
    return counts


def _partial(history: History) -> int:
    return sum(not end.complete for end in history.of(QueryAnswered))


def _unsure(history: History) -> int:
    refusals = history.of(Refused)
    return sum(end.verdict is Verdict.MAY_HAVE_RUN for end in refusals)
