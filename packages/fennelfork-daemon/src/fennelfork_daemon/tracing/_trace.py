"""Trace of a request, and storage of traces for `explain`."""

import json
from collections import OrderedDict
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork.gather import SubQueryOutcome

_MAX_EVENTS: Final = 32


@attrs.define(kw_only=True)
class RequestTrace:
    """Trace of a request with a limited number of events.

    Attributes:
        longest_queue_ms: longest time that a sub-query waited for a slot.
        slowest: outcome of the sub-query with the longest service time.
        hedges: number of hedges of sub-queries.
        retries: number of retries of sub-queries.
        omitted_events: number of events beyond the limit.
    """

    longest_queue_ms: float = 0
    slowest: SubQueryOutcome | None = None
    hedges: int = 0
    retries: int = 0
    omitted_events: int = 0
    _clock: Clock
    _started_ms: float
    _events: list[dict[str, Any]] = attrs.field(factory=list)

    @property
    def took_ms(self) -> float:
        """Time in milliseconds since the start of the trace."""
        return self._clock.now_ms() - self._started_ms

    @property
    def events(self) -> tuple[dict[str, Any], ...]:
        """Recorded events as JSON objects, oldest first."""
        return tuple(self._events)

    def record_event(self, event: str, **facts: Any) -> None:
        """Record an event.

        Args:
            event: short name of the event.
            facts: JSON values that describe the event.
        """
        if len(self._events) >= _MAX_EVENTS:
            self.omitted_events += 1
            return
        at_ms = round(self.took_ms, 1)
        self._events.append({'at_ms': at_ms, 'event': event, **facts})

    def record_outcome(self, outcome: SubQueryOutcome) -> None:
        """Record the outcome of a sub-query.

        Only failures and extra attempts are recorded as events.
        """
        self.hedges += outcome.hedges
        self.retries += outcome.retries
        self.longest_queue_ms = max(self.longest_queue_ms, outcome.queue_ms)
        if self.slowest is None or outcome.server_ms > self.slowest.server_ms:
            self.slowest = outcome
        if outcome.failure is not None:
            self.record_event(
                'sub-query failed',
                **_sub_query_fields(outcome),
                code=outcome.failure.code.value,
                verdict=outcome.failure.verdict.value,
            )
        elif outcome.hedges or outcome.retries:
            self.record_event(
                'sub-query repeated',
                **_sub_query_fields(outcome),
                hedges=outcome.hedges,
                retries=outcome.retries,
            )


@attrs.define(kw_only=True)
class ExplainRing:
    """Ring buffer of the traces of recent requests, in memory.

    Traces are stored as JSON, which uses less memory than objects.
    """

    _max_entries: int
    _entries: OrderedDict[str, bytes] = attrs.field(factory=OrderedDict)

    def store_trace(self, request_id: str, entry: dict[str, Any]) -> None:
        """Store a trace and evict the oldest trace if the ring is full."""
        self._entries.pop(request_id, None)
        while len(self._entries) >= self._max_entries:
            self._entries.popitem(last=False)
        self._entries[request_id] = json.dumps(entry).encode()

    def find(self, request_id: str) -> dict[str, Any] | None:
        """Return the trace of a request, None if unknown or evicted."""
        stored = self._entries.get(request_id)
        return None if stored is None else json.loads(stored)


def request_trace(clock: Clock) -> RequestTrace:
    """Start the trace of a request."""
    return RequestTrace(clock=clock, started_ms=clock.now_ms())


def _sub_query_fields(outcome: SubQueryOutcome) -> dict[str, Any]:
    return {
        'shard': outcome.planned.shard,
        'sub_query': outcome.planned.expected.sub_query,
        'server': outcome.server,
    }
