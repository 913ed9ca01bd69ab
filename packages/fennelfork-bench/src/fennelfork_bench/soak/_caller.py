"""Caller of the soak test: sends requests in sequence and records them."""

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
from fennelfork_bench.history._history import EventRecorder
from fennelfork_bench.rig import _http as http
from fennelfork_bench.soak._entry import Entry, EntryCache
from fennelfork_bench.soak._replies import classify_reply

_MS_PER_S: Final = 1000
_EXTRA_TIMEOUT_MS: Final = 3000
_ENTRY_RETRY_PAUSE_S: Final = 0.05
_QUERY_TEXTS: Final = ('raft', 'due', 'flare 0')
_KEYS_PER_QUERY: Final = 6
_MAX_ATTEMPTS: Final = 3


@attrs.frozen(kw_only=True)
class CallerProfile:
    """Parameters of the requests that a caller sends.

    Attributes:
        front: name of the front that receives the requests.
        keys: number of keys in the key space of the front.
        deadline_ms: deadline of each request, in milliseconds.
        mean_pause_ms: mean pause between two requests, in milliseconds.
        execute_share: share of requests that are not idempotent.
        partial_share: share of queries that accept a partial answer.
    """

    front: str
    keys: int
    deadline_ms: int = 1500
    mean_pause_ms: float = 20
    execute_share: float = 0.25
    partial_share: float = 0.4


@attrs.define(kw_only=True)
class Caller:
    """Caller that has at most one request in flight."""

    name: str
    profile: CallerProfile
    recorder: EventRecorder
    entries: EntryCache
    _randomness: random.Random
    _serials: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    def send_one_request(self) -> None:
        """Send one request, with retries of an execution, and pause."""
        entry = self.entries.current()
        if entry is None:
            time.sleep(_ENTRY_RETRY_PAUSE_S)
            return
        if self._randomness.random() < self.profile.execute_share:
            self._send_execution(entry)
        else:
            self._send_query(entry)
        mean_s = self.profile.mean_pause_ms / _MS_PER_S
        time.sleep(self._randomness.uniform(0, 2 * mean_s))

    def _send_query(self, entry: Entry) -> None:
        asked = QueryAsked(
            **self._common_fields(entry, self._next_request_id()),
            query=json.dumps(self._draw_query(), sort_keys=True),
            whole=self._randomness.random() >= self.profile.partial_share,
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

    def _send_execution(self, entry: Entry) -> None:
        name = self._next_request_id()
        key = self._randomness.randrange(self.profile.keys)
        once_caller = OnceCaller()
        for _ in range(self._randomness.choice((1, _MAX_ATTEMPTS))):
            asked = ExecuteAsked(
                **self._common_fields(entry, f'{name}@{entry.serial}'),
                key=key,
                action='issue',
            )
            body = {'key': key, 'action': 'issue', 'ticket': entry.ticket}
            end = self._send(asked, 'execute', body)
            step = once_caller.next_step(
                build_caller_event(end), self._ticket_left_ms(entry)
            )
            next_entry = self._entry_for_retry(entry, step)
            if next_entry is None:
                return
            entry = next_entry

    def _entry_for_retry(
        self,
        entry: Entry,
        step: CallerStep,
    ) -> Entry | None:
        """Return the entry for the next attempt, or `None` to stop."""
        if step is CallerStep.ASK_AGAIN:
            return entry
        return self._renew_entry() if step is CallerStep.RENEW else None

    def _ticket_left_ms(self, entry: Entry) -> float:
        return entry.expires_at_ms - self.recorder.now_ms()

    def _renew_entry(self) -> Entry | None:
        self.entries.invalidate()
        return self.entries.current()

    def _send(
        self, asked: Asked, operation: str, body: dict[str, Any]
    ) -> Ended:
        self.recorder.record_event(asked)
        reply = http.post(
            asked.daemon,
            f'/v1/fronts/{asked.front}/{operation}',
            {
                'request_id': asked.request_id,
                'deadline_ms': self.profile.deadline_ms,
                'tenant': 'salvare',
                'class': 'counter',
                **body,
            },
            self.profile.deadline_ms + _EXTRA_TIMEOUT_MS,
        )
        end = classify_reply(asked, reply, self.recorder.now_ms())
        self.recorder.record_event(end)
        if isinstance(end, ConnectionCut | ConnectRefused):
            self.entries.invalidate()
        return end

    def _common_fields(self, entry: Entry, request_id: str) -> dict[str, Any]:
        return {
            'at_ms': self.recorder.now_ms(),
            'attempt': f'{self.name}-try-{next(self._serials)}',
            'request_id': request_id,
            'caller': self.name,
            'daemon': self._randomness.choice(entry.addresses),
            'entry_until_ms': entry.expires_at_ms,
            'front': self.profile.front,
        }

    def _next_request_id(self) -> str:
        return f'{self.name}-{next(self._serials)}'

    def _draw_query(self) -> dict[str, Any]:
        kind = self._randomness.randrange(3)
        if kind == 0:
            return {}
        if kind == 1:
            return {'text': self._randomness.choice(_QUERY_TEXTS)}
        all_keys = range(self.profile.keys)
        return {'keys': self._randomness.sample(all_keys, _KEYS_PER_QUERY)}


def build_caller_event(end: Ended) -> CallerEvent:
    """Convert the end of an attempt to an event for `OnceCaller`."""
    if isinstance(end, ConnectRefused):
        return ConnectFailed()
    if isinstance(end, Refused):
        return AnswerReceived(verdict=end.verdict)
    if isinstance(end, ExecuteAnswered):
        return AnswerReceived(verdict=Verdict.RAN, has_outcome=True)
    return AnswerLost()
