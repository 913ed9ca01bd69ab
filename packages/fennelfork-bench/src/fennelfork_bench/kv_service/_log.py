"""Call log of the key-value stand-in."""

import enum
from collections import Counter, deque
from typing import Any, Final

import attrs

_MAX_RECENT_CALLS: Final = 50_000


@enum.unique
class Outcome(enum.Enum):
    """Outcome of a call."""

    DONE = 'done'
    REJECTED = 'rejected'
    REFUSED = 'refused'
    CUT = 'cut'
    REPLY_LOST = 'reply_lost'


@attrs.frozen(kw_only=True)
class CallRecord:
    """One call to the stand-in; `at_ms` is a time of the system clock."""

    at_ms: float
    name: str
    outcome: Outcome
    body_bytes: int


@attrs.define(kw_only=True)
class CallLog:
    """Counts of all calls, and records of the most recent calls."""

    _counts: Counter[str] = attrs.field(factory=Counter)
    _calls: deque[CallRecord] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_RECENT_CALLS)
    )

    def record(self, call: CallRecord) -> None:
        """Count a call and store its record."""
        self._counts[call.name] += 1
        self._calls.append(call)

    def to_json(self, since_ms: float = 0) -> dict[str, Any]:
        """Return the counts of all calls and the calls since `since_ms`."""
        return {
            'counts': dict(self._counts),
            'calls': [
                {
                    'at_ms': call.at_ms,
                    'name': call.name,
                    'outcome': call.outcome.value,
                    'body_bytes': call.body_bytes,
                }
                for call in self._calls
                if call.at_ms >= since_ms
            ],
        }
