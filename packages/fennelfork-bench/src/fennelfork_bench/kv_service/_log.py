"""The call log of the key-value stand-in."""

import enum
from collections import Counter, deque
from typing import Any, Final

import attrs

_KEPT: Final = 50_000


@enum.unique
class Outcome(enum.Enum):
    """What became of a call."""

    DONE = 'done'
    REJECTED = 'rejected'
    REFUSED = 'refused'
    CUT = 'cut'
    REPLY_LOST = 'reply_lost'


@attrs.frozen(kw_only=True)
class Call:
    """One call as the stand-in saw it; `at_ms` on the system's clock."""

    at_ms: float
    name: str
    outcome: Outcome
    body_bytes: int


@attrs.define(kw_only=True)
class CallLog:
    """Counts of all calls and the most recent of them."""

    _counts: Counter[str] = attrs.field(factory=Counter)
    _calls: deque[Call] = attrs.field(factory=lambda: deque(maxlen=_KEPT))

    def add(self, call: Call) -> None:
        """Count and keep one call."""
        self._counts[call.name] += 1
        self._calls.append(call)

    def to_json(self, since_ms: float = 0) -> dict[str, Any]:
        """Write the counts, and the calls at or after `since_ms`."""
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
