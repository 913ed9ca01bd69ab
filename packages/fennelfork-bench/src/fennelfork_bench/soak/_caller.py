"""A caller that asks one request after the other and notes all of it."""

import itertools
import json
import random
import time
from typing import Any, Final

import attrs

from fennelfork import Verdict
from fennelfork.once import (
    AnswerLost,
    AnswerReceived,
    CallerEvent,
    CallerStep,
    ConnectFailed,
    OnceCaller,
)
from fennelfork_bench.history._caller import (
    Asked,
    ConnectionCut,
    ConnectRefused,
    Ended,
    ExecuteAnswered,
    ExecuteAsked,
    QueryAsked,
    Refused,
)
from fennelfork_bench.history._history import Recorder
from fennelfork_bench.rig import _http as http
from fennelfork_bench.soak._entry import Entry, EntryBook
from fennelfork_bench.soak._replies import ended

_MS_PER_S: Final = 1000
_PATIENCE_MS: Final = 3000
_ENTRY_PAUSE_S: Final = 0.05
_TEXTS: Final = ('raft', 'due', 'flare 0')
_FEW_KEYS: Final = 6
_TRIES: Final = 3


@attrs.frozen(kw_only=True)
class Habits:
    """How a caller asks.

    Attributes:
        front: the front it asks.
        keys: key space of that front.
        deadline_ms: the deadline of each request.
        pause_ms: mean time between two requests.
        execute_share: share of requests that are not idempotent.
        partial_share: share of queries that take a partial answer.
    """

    front: str
    keys: int
    deadline_ms: int = 1500
    pause_ms: float = 20
    execute_share: float = 0.25
    partial_share: float = 0.4


@attrs.define(kw_only=True)
class Caller:
    """One caller; its requests follow one another."""

    name: str
    habits: Habits
    recorder: Recorder
    entries: EntryBook
    _randomness: random.Random
    _numbers: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    def ask_one(self) -> None:
        """Make one request, with the tries that it takes, and pause."""
        entry = self.entries.current()
        if entry is None:
            time.sleep(_ENTRY_PAUSE_S)
            return
        if self._randomness.random() < self.habits.execute_share:
            self._execute(entry)
        else:
            self._query(entry)
        mean_s = self.habits.pause_ms / _MS_PER_S
        time.sleep(self._randomness.uniform(0, 2 * mean_s))

    def _query(self, entry: Entry) -> None:
        asked = QueryAsked(
            **self._common(entry, self._next_id()),
            query=json.dumps(self._draw_query(), sort_keys=True),
            whole=self._randomness.random() >= self.habits.partial_share,
            floor=0,
        )
        body = {
            'query': json.loads(asked.query),
            'coverage': {
                'mode': 'whole' if asked.whole else 'partial',
                'floor': asked.floor,
            },
        }
        self._send(asked, 'query', body)

    def _execute(self, entry: Entry) -> None:
        name = self._next_id()
        key = self._randomness.randrange(self.habits.keys)
        once = OnceCaller()
        for _ in range(self._randomness.choice((1, _TRIES))):
            asked = ExecuteAsked(
                **self._common(entry, f'{name}@{entry.serial}'),
                key=key,
                action='issue',
            )
            body = {'key': key, 'action': 'issue', 'ticket': entry.ticket}
            end = self._send(asked, 'execute', body)
            step = once.next_step(caller_event(end), self._left_ms(entry))
            fresh = self._entry_for_retry(entry, step)
            if fresh is None:
                return
            entry = fresh

    def _entry_for_retry(
        self,
        entry: Entry,
        step: CallerStep,
    ) -> Entry | None:
        """Give what to use for another try, none if there is to be none."""
        if step is CallerStep.ASK_AGAIN:
            return entry
        return self._renewed() if step is CallerStep.RENEW else None

    def _left_ms(self, entry: Entry) -> float:
        return entry.until_ms - self.recorder.now_ms()

    def _renewed(self) -> Entry | None:
        self.entries.forget()
        return self.entries.current()

    def _send(self, asked: Asked, call: str, body: dict[str, Any]) -> Ended:
        self.recorder.note(asked)
        reply = http.post(
            asked.daemon,
            f'/v1/fronts/{asked.front}/{call}',
            {
                'request_id': asked.request_id,
                'deadline_ms': self.habits.deadline_ms,
                'tenant': 'salvare',
                'class': 'counter',
                **body,
            },
            self.habits.deadline_ms + _PATIENCE_MS,
        )
        end = ended(asked, reply, self.recorder.now_ms())
        self.recorder.note(end)
        if isinstance(end, ConnectionCut | ConnectRefused):
            self.entries.forget()
        return end

    def _common(self, entry: Entry, request_id: str) -> dict[str, Any]:
        return {
            'at_ms': self.recorder.now_ms(),
            'attempt': f'{self.name}-try-{next(self._numbers)}',
            'request_id': request_id,
            'caller': self.name,
            'daemon': self._randomness.choice(entry.addresses),
            'entry_until_ms': entry.until_ms,
            'front': self.habits.front,
        }

    def _next_id(self) -> str:
        return f'{self.name}-{next(self._numbers)}'

    def _draw_query(self) -> dict[str, Any]:
        kind = self._randomness.randrange(3)
        if kind == 0:
            return {}
        if kind == 1:
            return {'text': self._randomness.choice(_TEXTS)}
        wanted = range(self.habits.keys)
        return {'keys': self._randomness.sample(wanted, _FEW_KEYS)}


def caller_event(end: Ended) -> CallerEvent:
    """Put the end of a try in the words of `OnceCaller`."""
    if isinstance(end, ConnectRefused):
        return ConnectFailed()
    if isinstance(end, Refused):
        return AnswerReceived(verdict=end.verdict)
    if isinstance(end, ExecuteAnswered):
        return AnswerReceived(verdict=Verdict.RAN, has_outcome=True)
    return AnswerLost()
