"""What was done for one request, and where it is kept for `explain`."""

import json
from collections import OrderedDict
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork.gather import SubQueryOutcome

_MOST_EVENTS: Final = 32


@attrs.define(kw_only=True)
class RequestTrace:
    """Notes what is done for a request; the notes are bounded.

    Attributes:
        longest_queue_ms: longest wait of a sub-query for a slot.
        slowest: the sub-query whose server took longest.
        hedges: second copies of sub-queries.
        retries: sub-queries sent again.
        left_out: events beyond the bound.
    """

    longest_queue_ms: float = 0
    slowest: SubQueryOutcome | None = None
    hedges: int = 0
    retries: int = 0
    left_out: int = 0
    _clock: Clock
    _started_ms: float
    _events: list[dict[str, Any]] = attrs.field(factory=list)

    @property
    def took_ms(self) -> float:
        """Time since the request was read."""
        return self._clock.now_ms() - self._started_ms

    @property
    def events(self) -> tuple[dict[str, Any], ...]:
        """The events so far, oldest first, ready for JSON."""
        return tuple(self._events)

    def note(self, event: str, **facts: Any) -> None:
        """Note an event.

        Args:
            event: what happened, in a word or two.
            facts: plain values that belong to it.
        """
        if len(self._events) >= _MOST_EVENTS:
            self.left_out += 1
            return
        at_ms = round(self.took_ms, 1)
        self._events.append({'at_ms': at_ms, 'event': event, **facts})

    def part(self, part: SubQueryOutcome) -> None:
        """Take what came of one sub-query; only the unusual is noted."""
        self.hedges += part.hedges
        self.retries += part.retries
        self.longest_queue_ms = max(self.longest_queue_ms, part.queue_ms)
        if self.slowest is None or part.server_ms > self.slowest.server_ms:
            self.slowest = part
        if part.failure is not None:
            self.note(
                'sub-query failed',
                **_place(part),
                code=part.failure.code.value,
                verdict=part.failure.verdict.value,
            )
        elif part.hedges or part.retries:
            self.note(
                'sub-query repeated',
                **_place(part),
                hedges=part.hedges,
                retries=part.retries,
            )


@attrs.define(kw_only=True)
class ExplainRing:
    """Keeps the stories of the latest requests in memory.

    They are kept as JSON, which takes less than the objects.
    """

    _most: int
    _stories: OrderedDict[str, bytes] = attrs.field(factory=OrderedDict)

    def remember(self, request_id: str, story: dict[str, Any]) -> None:
        """Keep a story; the oldest one makes room."""
        self._stories.pop(request_id, None)
        while len(self._stories) >= self._most:
            self._stories.popitem(last=False)
        self._stories[request_id] = json.dumps(story).encode()

    def find(self, request_id: str) -> dict[str, Any] | None:
        """Give a story, none if it is unknown or forgotten."""
        kept = self._stories.get(request_id)
        return None if kept is None else json.loads(kept)


def request_trace(clock: Clock) -> RequestTrace:
    """Begin the trace of a request that was just read."""
    return RequestTrace(clock=clock, started_ms=clock.now_ms())


def _place(part: SubQueryOutcome) -> dict[str, Any]:
    return {
        'shard': part.planned.shard,
        'sub_query': part.planned.expected.sub_query,
        'server': part.server,
    }
