"""What this daemon has seen of each backend server."""

import math
from typing import Final

import attrs

from fennelfork.servers._connection import TURNED_AWAY_MS
from fennelfork.servers._ejection import Standing
from fennelfork.servers._rank import ObservedLatency

# A server that got no work is believed to be half way back to the usual
# speed after this: slow spells of some seconds are the common case, and a
# daemon of a large fleet asks the same server about once a second.
_FORGIVE_MS: Final = 6000.0
# One answer that took four times as long as usual may be a pause, and leaves a
# server nearby preferred to one in another region; a second one does not. With
# a tenth, five slow answers were needed, and each may cost its caller a part:
# with a seventh of 128 servers slow for 8 s, 67 daemons that ask 1.5 times a
# second answered 0.64 instead of 0.52 of what is owed in the worst seconds.
_GAIN: Final = 0.4
_HALF: Final = 0.5
_LEAST_RATIO: Final = 0.1


@attrs.define(kw_only=True)
class ServerState:
    """Own observations of one server.

    Attributes:
        standing: how far it is trusted after failures.
    """

    standing: Standing = attrs.field(factory=Standing)
    _sent_ms: dict[int, float] = attrs.field(factory=dict)
    _busy_since_ms: float = math.inf
    _heard_ms: float = -math.inf
    _sampled_ms: float = -math.inf
    _full_until_ms: float = -math.inf
    _slowness: ObservedLatency = attrs.field(
        factory=lambda: ObservedLatency(mean_ms=1, gain=_GAIN),
    )

    @property
    def outstanding(self) -> int:
        """How many requests of this daemon it has not answered."""
        return len(self._sent_ms)

    def sent(self, attempt: int, now_ms: float) -> None:
        """Note a request."""
        if not self._sent_ms:
            self._busy_since_ms = now_ms
        self._sent_ms[attempt] = now_ms

    def heard(self, attempt: int, now_ms: float) -> None:
        """Note the answer to a request, good or bad."""
        self._sent_ms.pop(attempt, None)
        self._heard_ms = now_ms

    def lost(self, attempt: int) -> None:
        """Note that a request is no longer waited for."""
        self._sent_ms.pop(attempt, None)

    def note_full(self, now_ms: float) -> None:
        """Note that no connection to it was to be had.

        It is passed over, while others have one, for as long as no further
        one is opened to it.
        """
        self._full_until_ms = now_ms + TURNED_AWAY_MS

    def full(self, now_ms: float) -> bool:
        """Tell whether there was none a moment ago."""
        return now_ms < self._full_until_ms

    def silent_ms(self, now_ms: float) -> float:
        """Tell for how long it has answered nothing while it had work."""
        if not self._sent_ms:
            return 0
        return now_ms - max(self._busy_since_ms, self._heard_ms)

    def sample(self, ratio: float, now_ms: float) -> None:
        """Note how long a request took, as a multiple of the usual time."""
        self._slowness.mean_ms = self.slowness(now_ms)
        self._slowness.record(max(_LEAST_RATIO, ratio))
        self._sampled_ms = now_ms

    def slowness(self, now_ms: float) -> float:
        """Give how slow it is as a multiple of the usual, 1 if unknown."""
        age = (now_ms - self._sampled_ms) / _FORGIVE_MS
        left: float = _HALF**age
        return 1 + (self._slowness.mean_ms - 1) * left


@attrs.define(kw_only=True)
class ServerStates:
    """The states of all servers, by their run."""

    _states: dict[str, ServerState] = attrs.field(factory=dict)

    def of(self, run: str) -> ServerState:
        """Give the state of a server's run, a fresh one if it is new."""
        state = self._states.get(run)
        if state is None:
            state = ServerState()
            self._states[run] = state
        return state

    def keep(self, runs: set[str]) -> None:
        """Forget all other runs."""
        for run in self._states.keys() - runs:
            self._states.pop(run)
